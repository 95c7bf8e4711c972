/** Traits of requests that may crash upstreams: the request as a whole, and the parts of its prompt that other requests share. */
import { createHash } from 'node:crypto'

/** Parts of one request that are examined; further ones are ignored. */
const maximumParts = 256
/** Longest id of a part that is kept as it is; a longer one is hashed. */
const maximumIdLength = 24
const partPrefix = 'part:'
const begunPartPrefix = 'begun-part:'

/** Identifies a request by what stays the same when its caller retries it. */
export function fingerprintRequest (method: string, target: string, organisation: string, body: Buffer): string {
  return createHash('md5').update(`${method} ${target}\u0000${organisation}\u0000`).update(body).digest('base64url')
}

/** Traits of a request: its fingerprint, and the parts of its prompt that other requests may share, all but the last. */
export function traitsOf (fingerprint: string, service: string, promptParts: readonly string[]): readonly string[] {
  const shared = new Set(promptParts.slice(0, -1).slice(0, maximumParts))
  return [fingerprint, ...[...shared].map(id => `${partPrefix}${service}/${id.length > maximumIdLength ? createHash('md5').update(id).digest('base64url') : id}`)]
}

/**
 * These traits, and each part once more as a trait of its own, against which ends after a first event count too. As every such
 * end counts against the healthy parts beside it, more ends are needed, and a proof rather than a first event clears it.
 */
export function withBegunParts (traits: readonly string[]): readonly string[] {
  return [...traits, ...traits.flatMap(trait => trait.startsWith(partPrefix) ? [begunPartPrefix + trait.slice(partPrefix.length)] : [])]
}

/** Whether a trait is a part of a prompt. */
export function isPart (trait: string): boolean {
  return trait.startsWith(partPrefix) || isBegunPart(trait)
}

/** Whether a trait is a part against which ends after a first event count too. */
export function isBegunPart (trait: string): boolean {
  return trait.startsWith(begunPartPrefix)
}

/** Of the traits of a request, those that its first event clears. */
export function clearedByFirstEvent (traits: readonly string[]): readonly string[] {
  return traits.filter(trait => trait.startsWith(partPrefix))
}

/** Of the traits of a request, those against which an end after its first event counts. */
export function suspectedAfterFirstEvent (traits: readonly string[]): readonly string[] {
  return traits.filter(trait => !trait.startsWith(partPrefix))
}
