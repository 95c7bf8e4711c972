/**
 * At-most-once execution: decides which agent may run a non-idempotent request, from the claims stream of the log.
 * A claim is valid only if no earlier claim of its key is unreleased, so all readers agree on the holder.
 */
import type { ClaimRecord } from '../types/configuration.js'
import { digestValue } from '../utils/digest.js'

/** Valid claim of a key. */
export interface Claim {
  readonly offset: number
  readonly id: string
  readonly instance: string
  readonly incarnation: string
  /** Control address of the holding agent, `ip:port`. */
  readonly address: string
  /** SHA-256 of the request's body. */
  readonly content: string
}

/** Phase of a claim that this agent made; only `held` may become `sent`, and no phase is entered twice. */
export type ClaimPhase = 'appending' | 'held' | 'sent' | 'finished' | 'abandoned'

/** Claim that this agent made. */
export interface LocalClaim {
  readonly id: string
  readonly phase: ClaimPhase
}

/** Result of a claim once its record was read back; `reused` means the key belongs to a request with another body. */
export type ClaimDecision =
  | { readonly kind: 'held' }
  | { readonly kind: 'lost', readonly holder: Claim }
  | { readonly kind: 'reused', readonly holder: Claim }

/** SHA-256 that identifies an idempotency key in the claims stream. */
export function claimKey (organisation: string, service: string, operation: string, idempotencyKey: string): string {
  return digestValue([organisation, service, operation, idempotencyKey])
}

/** Folds the next record of a key; returns the new holder, undefined when the key is free. */
export function foldClaim (holder: Claim | undefined, offset: number, record: ClaimRecord): Claim | undefined {
  if (record.type === 'release') return isSameClaim(holder, record) ? undefined : holder
  if (holder !== undefined) return holder
  const { id, instance, incarnation, address, content } = record
  return { offset, id, instance, incarnation, address, content }
}

/** Decides a claim of this agent; `holder` is the holder just after the record of that claim was folded. Throws when there is none. */
export function decideClaim (holder: Claim | undefined, claimId: string, content: string): ClaimDecision {
  if (holder === undefined) throw new Error('claim key has no holder after its claim record was folded')
  if (holder.id === claimId) return { kind: 'held' }
  return holder.content === content ? { kind: 'lost', holder } : { kind: 'reused', holder }
}

/** Local claim after its record was read back; a claim that was already abandoned stays abandoned. */
export function applyDecision (claim: LocalClaim, decision: ClaimDecision): LocalClaim {
  if (claim.phase !== 'appending') return claim
  return { ...claim, phase: decision.kind === 'held' ? 'held' : 'abandoned' }
}

/** Local claim after its agent abandons it; undefined when the request was or may have been sent. */
export function abandon (claim: LocalClaim): LocalClaim | undefined {
  return claim.phase === 'appending' || claim.phase === 'held' ? { ...claim, phase: 'abandoned' } : undefined
}

/** Local claim after it is marked as sent, just before the first byte of the request; undefined when the request must not be sent. */
export function markSent (claim: LocalClaim): LocalClaim | undefined {
  return claim.phase === 'held' ? { ...claim, phase: 'sent' } : undefined
}

/** Whether this agent must release the claim that holds a key: the claim is its own, and no request will be sent under it. */
export function needsRelease (holder: Claim | undefined, incarnation: string, claim: LocalClaim | undefined): boolean {
  if (holder === undefined || holder.incarnation !== incarnation) return false
  return claim === undefined || claim.id !== holder.id || claim.phase === 'abandoned'
}

function isSameClaim (holder: Claim | undefined, record: ClaimRecord): boolean {
  return holder !== undefined && holder.id === record.id && holder.incarnation === record.incarnation
}
