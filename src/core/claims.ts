/**
 * At most once: which agent may run a non-idempotent request. The claims stream decides; a claim counts
 * only when no unreleased claim of its key stands before it, so every reader names the same holder.
 */
import type { ClaimRecord } from '../types/configuration.js'
import { digestValue } from '../utils/digest.js'

/** The claim that holds a key. */
export interface Claim {
  readonly offset: number
  readonly id: string
  readonly instance: string
  readonly incarnation: string
  /** Control address of the holder, `ip:port`. */
  readonly address: string
  /** SHA-256 of the request's body. */
  readonly content: string
}

/** Where an agent's own claim stands; only `held` may turn into `sent`, and nothing leads back. */
export type ClaimPhase = 'appending' | 'held' | 'sent' | 'finished' | 'abandoned'

/** A claim as its own agent sees it. */
export interface LocalClaim {
  readonly id: string
  readonly phase: ClaimPhase
}

/** What a claim's own record, once read back, says. */
export type ClaimDecision =
  | { readonly kind: 'held' }
  | { readonly kind: 'lost', readonly holder: Claim }
  | { readonly kind: 'reused', readonly holder: Claim }

/** Digest that names a key in the claims stream. */
export function claimKey (organisation: string, service: string, operation: string, idempotencyKey: string): string {
  return digestValue([organisation, service, operation, idempotencyKey])
}

/** Holder of a key after one more record of that key. */
export function foldClaim (holder: Claim | undefined, offset: number, record: ClaimRecord): Claim | undefined {
  if (record.type === 'release') return isSameClaim(holder, record) ? undefined : holder
  if (holder !== undefined) return holder
  const { id, instance, incarnation, address, content } = record
  return { offset, id, instance, incarnation, address, content }
}

/** Verdict on one's own claim; `holder` is the holder just after the claim's own record was folded. */
export function decideClaim (holder: Claim | undefined, ownId: string, content: string): ClaimDecision {
  if (holder === undefined) throw new Error('a claim was folded and its key has no holder')
  if (holder.id === ownId) return { kind: 'held' }
  return holder.content === content ? { kind: 'lost', holder } : { kind: 'reused', holder }
}

/** Own claim after its record was read back; an abandoned claim stays abandoned, whoever holds the key. */
export function applyDecision (own: LocalClaim, verdict: ClaimDecision): LocalClaim {
  if (own.phase !== 'appending') return own
  return { ...own, phase: verdict.kind === 'held' ? 'held' : 'abandoned' }
}

/** Own claim once its agent gives it up; undefined when the request was or may have been sent. */
export function abandon (own: LocalClaim): LocalClaim | undefined {
  return own.phase === 'appending' || own.phase === 'held' ? { ...own, phase: 'abandoned' } : undefined
}

/** Own claim from the moment before the request's first byte is sent; undefined when it may not be sent. */
export function markSent (own: LocalClaim): LocalClaim | undefined {
  return own.phase === 'held' ? { ...own, phase: 'sent' } : undefined
}

/** Whether an agent must release the claim that holds a key: its own, and nothing will ever be sent under it. */
export function needsRelease (holder: Claim | undefined, incarnation: string, own: LocalClaim | undefined): boolean {
  if (holder === undefined || holder.incarnation !== incarnation) return false
  return own === undefined || own.id !== holder.id || own.phase === 'abandoned'
}

function isSameClaim (holder: Claim | undefined, record: ClaimRecord): boolean {
  return holder !== undefined && holder.id === record.id && holder.incarnation === record.incarnation
}
