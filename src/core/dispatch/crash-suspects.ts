/**
 * Traits of requests, which are parts of their prompts and the request as a whole, suspected of crashing the upstreams that
 * run them. The end of an upstream counts against the traits of the requests that it ran and that are not proved healthy, see
 * `RunEvidence`; a proof of a trait, anywhere, clears it. Times are milliseconds of the monotonic clock.
 */
import { CallLosses } from './call-losses.js'
import { isBegunPart, isPart } from './request-traits.js'
import { countMoments, keepOldest, leastSuspect, type SuspectedTrait } from './suspected-trait.js'

/** When a trait is refused: after ends of this many upstreams, counting those closer together than `momentMilliseconds` once; and for how long after the last request with it or the last end. From `heldBackEnds` on, a request with it is not sent again after it was lost. */
interface Policy { readonly ends: number, readonly heldBackEnds: number, readonly momentMilliseconds: number, readonly retentionMilliseconds: number }

const policies = {
  /** Remembered for a day: a request that comes rarely would otherwise end as many upstreams each time. */
  request: { ends: 3, heldBackEnds: 3, momentMilliseconds: 0, retentionMilliseconds: 86_400_000 },
  /** Many requests share a part, and many upstreams may end at one moment for one reason. */
  part: { ends: 4, heldBackEnds: 2, momentMilliseconds: 50, retentionMilliseconds: 900_000 },
  /** The same part with the ends after first events too, of which every end has many. */
  begunPart: { ends: 8, heldBackEnds: 5, momentMilliseconds: 50, retentionMilliseconds: 900_000 }
} as const satisfies Readonly<Record<string, Policy>>

/** A proof holds for ends up to this long after it, milliseconds: ends and proofs reach entries late, in any order. */
const healthyMilliseconds = 500
/** Most suspected traits, proofs, and ended upstream incarnations that are remembered. */
const maximumTraits = { suspected: 2000, healthy: 4000, ended: 1000 } as const
/** Upstreams remembered for one trait; more prove nothing further. */
const maximumEnds = 12
const upstreamPrefix = 'upstream:'
/** Time after its last end for which a trait that is not refused is told again and again, milliseconds: all entries were told of it at once. */
const summaryMilliseconds = 60_000
/** Events of an upstream that ended may still arrive for this long, milliseconds. */
const lastEventsMilliseconds = 300

/** Ends that count against a trait, as entries tell each other; ages in milliseconds. */
export interface GossipedSuspicion {
  readonly trait: string
  /** Upstream incarnations that ended, with the time since. */
  readonly ends: readonly (readonly [string, number])[]
  /** Time since the last request with the trait was refused; -1 for none. */
  readonly refusedAgeMilliseconds: number
  readonly isBlocked: boolean
}

/** Evidence that entries tell each other. */
export interface CrashEvidence {
  readonly suspicions: readonly GossipedSuspicion[]
  /** Traits that were proved healthy, and upstream incarnations that were proved to run, with the time since. */
  readonly healthy: readonly (readonly [string, number])[]
}

/** A trait with which requests are refused from now on, and the upstream incarnations whose ends prove it. */
export interface BlockedTrait {
  readonly trait: string
  readonly upstreams: readonly string[]
}

/** Evidence of all entries, merged by upstream incarnation so that each end counts once. */
export class CrashSuspects {
  private readonly suspected = new Map<string, SuspectedTrait>()
  /** When a trait was last proved healthy, or an event of an upstream incarnation received. */
  private readonly healthy = new Map<string, number>()
  private readonly blocked = new Set<string>()
  /** Upstream incarnations whose ends count against a trait. */
  private readonly ended = new Set<string>()
  private readonly losses = new CallLosses()
  /** Accused traits, and what was proved, that other entries do not know of yet. */
  private readonly untold = { suspected: new Set<string>(), healthy: new Set<string>() }

  /** `reportBlocked` is called when a trait is refused from now on, with `isLifted` when it is no longer. */
  constructor (private readonly reportBlocked: (blocked: BlockedTrait, isLifted: boolean) => void = () => {}) {}

  /** Records that a connection to an upstream incarnation was lost while it ran a request with these traits; false if so many are lost that the upstreams may go on. */
  recordEnd (traits: readonly string[], upstream: string, now: number): boolean {
    if (this.losses.recordLost(upstream, now)) return false
    this.suspectAll(traits, upstream, now, now)
    return true
  }

  /** Suspects traits of the end of an upstream incarnation, of which the last sign was received `at`. */
  suspectAll (traits: readonly string[], upstream: string, at: number, now: number): void {
    for (const trait of traits) {
      if (this.isHealthyAt(trait, at) || this.suspected.get(trait)?.ends.has(upstream) === true) continue
      this.suspect(trait, upstream, at, now)
      this.untold.suspected.add(trait)
    }
  }

  /** Records an event or answer of an upstream incarnation, which ran until now. */
  recordEvent (upstream: string, now: number): void {
    this.losses.recordEvent()
    if (this.ended.has(upstream)) this.untold.healthy.add(upstreamPrefix + upstream)
    this.proveRunning(upstream, now)
  }

  /** Records that a request with these traits was run to an end, or for longer than any that ends its upstream. */
  recordProof (traits: readonly string[], now: number): void {
    for (const trait of traits) {
      if (this.suspected.has(trait)) this.untold.healthy.add(trait)
      this.proveHealthy(trait, now)
    }
  }

  /** The first of these traits for which a request is refused, if any; its refusal is extended by this request. */
  refusedTrait (traits: readonly string[], now: number): string | undefined {
    const trait = traits.find(candidate => this.isRefused(candidate, now))
    const known = trait === undefined ? undefined : this.suspected.get(trait)
    if (trait !== undefined && known !== undefined) this.suspected.set(trait, { ...known, refusedAt: now })
    return trait
  }

  /** Whether a trait has crashed more upstreams than tolerated. */
  isRefused (trait: string, now: number): boolean {
    const known = this.suspected.get(trait)
    if (known === undefined) return false
    if (!this.isLapsed(trait, known, now)) return this.blocked.has(trait)
    this.forget(trait)
    return false
  }

  /**
   * Whether a request with these traits must not be sent again: one of them may have crashed several upstreams. Upstreams that
   * are `silent` on this request count as crashed by the request as a whole if others were; most of them only pause.
   */
  isSuspect (traits: readonly string[], silent: readonly string[] = []): boolean {
    return traits.some(trait => this.endCount(trait) + this.possibleEndCount(trait, silent) >= policyOf(trait).heldBackEnds)
  }

  /** Number of traits that are refused. */
  get refusedCount (): number {
    return this.blocked.size
  }

  /** Evidence that no other entry was told yet, at most `maximumCount` suspicions and proofs each, the rest by the next call; undefined for none. */
  takeUntold (maximumCount: number, now: number): CrashEvidence | undefined {
    const { suspected, healthy } = this.untold
    if (suspected.size === 0 && healthy.size === 0) return undefined
    const evidence = this.evidenceOf([...suspected], [...healthy], maximumCount, now)
    for (const { trait } of evidence.suspicions) suspected.delete(trait)
    for (const [proved] of evidence.healthy) healthy.delete(proved)
    for (const trait of suspected) if (!this.suspected.has(trait)) suspected.delete(trait)
    return evidence.suspicions.length + evidence.healthy.length === 0 ? undefined : evidence
  }

  /** The most important evidence, for an entry that may know nothing of it; undefined for none. */
  summary (maximumCount: number, now: number): CrashEvidence | undefined {
    for (const [trait, known] of this.suspected) if (this.isLapsed(trait, known, now)) this.forget(trait)
    const told = [...this.suspected].flatMap(([trait, known]) => this.blocked.has(trait) || this.lastAt(known) + summaryMilliseconds > now ? [trait] : [])
    return told.length === 0 ? undefined : this.evidenceOf(told, [], maximumCount, now)
  }

  /** Merges the evidence of another entry. */
  merge ({ suspicions, healthy }: CrashEvidence, now: number): void {
    for (const [proved, ageMilliseconds] of healthy) {
      if (proved.startsWith(upstreamPrefix)) this.proveRunning(proved.slice(upstreamPrefix.length), now - ageMilliseconds)
      else this.proveHealthy(proved, now - ageMilliseconds)
    }
    for (const { trait, ends, refusedAgeMilliseconds, isBlocked } of suspicions) {
      const refusedAt = refusedAgeMilliseconds < 0 ? 0 : now - refusedAgeMilliseconds
      for (const [upstream, ageMilliseconds] of ends) this.suspect(trait, upstream, now - ageMilliseconds, now, refusedAt)
      const known = this.suspected.get(trait)
      if (known !== undefined && refusedAt > known.refusedAt) this.suspected.set(trait, { ...known, refusedAt })
      if (known !== undefined && isBlocked && known.ends.size >= policyOf(trait).ends) this.updateBlocked(trait, true)
    }
  }

  /** Adds an end; `refusedAt` is when another entry last refused a request with the trait. */
  private suspect (trait: string, upstream: string, at: number, now: number, refusedAt = 0): void {
    const known = this.suspected.get(trait)
    const before = known === undefined || this.isLapsed(trait, known, now) ? new Map<string, number>() : known.ends
    const isKept = Math.max(at, refusedAt) + policyOf(trait).retentionMilliseconds > now
    if (!isKept || before.has(upstream) || this.isHealthyAt(trait, at) || this.hasRunSince(upstream, at) || this.isExplained(trait, upstream)) return
    this.ended.add(upstream)
    if (this.ended.size > maximumTraits.ended) this.ended.delete(this.ended.keys().next().value ?? '')
    this.suspected.delete(trait)
    this.suspected.set(trait, { ends: keepOldest(new Map([...before, [upstream, at]]), maximumEnds), refusedAt: Math.max(known?.refusedAt ?? 0, refusedAt) })
    this.updateBlocked(trait, this.blocked.has(trait) || this.endCount(trait) >= policyOf(trait).ends)
    if (this.suspected.size > maximumTraits.suspected) this.forget(leastSuspect(this.suspected, this.blocked))
  }

  private proveHealthy (trait: string, at: number): void {
    if (!this.rememberProof(trait, at)) return
    this.retainEnds(trait, (_upstream, endedAt) => !this.isHealthyAt(trait, endedAt))
  }

  /** Withdraws an end: the upstream incarnation sent an event later, so that only a connection to it was lost. */
  private proveRunning (upstream: string, at: number): void {
    if (!this.rememberProof(upstreamPrefix + upstream, at) || !this.ended.has(upstream)) return
    this.ended.delete(upstream)
    for (const trait of [...this.suspected.keys()]) this.retainEnds(trait, (ended, endedAt) => ended !== upstream || !this.hasRunSince(upstream, endedAt))
  }

  /** Remembers when something was proved last; false if it was known. */
  private rememberProof (proved: string, at: number): boolean {
    if ((this.healthy.get(proved) ?? -Infinity) >= at) return false
    this.healthy.delete(proved)
    this.healthy.set(proved, at)
    if (this.healthy.size > maximumTraits.healthy) this.healthy.delete(this.healthy.keys().next().value ?? '')
    return true
  }

  private retainEnds (trait: string, isRetained: (upstream: string, endedAt: number) => boolean): void {
    const known = this.suspected.get(trait)
    if (known === undefined) return
    const ends = new Map([...known.ends].filter(([upstream, endedAt]) => isRetained(upstream, endedAt)))
    if (ends.size === known.ends.size) return
    if (ends.size === 0) {
      this.forget(trait)
      return
    }
    this.suspected.set(trait, { ...known, ends })
    this.updateBlocked(trait, this.endCount(trait) >= policyOf(trait).ends)
  }

  private isHealthyAt (trait: string, at: number): boolean {
    return (this.healthy.get(trait) ?? -Infinity) + healthyMilliseconds >= at
  }

  private hasRunSince (upstream: string, at: number): boolean {
    return (this.healthy.get(upstreamPrefix + upstream) ?? -Infinity) > at + lastEventsMilliseconds
  }

  private forget (trait: string): void {
    this.suspected.delete(trait)
    this.updateBlocked(trait, false)
  }

  private endCount (trait: string): number {
    const known = this.suspected.get(trait)
    return known === undefined ? 0 : countMoments([...known.ends.values()], policyOf(trait).momentMilliseconds)
  }

  /** Number of silent upstreams whose ends do not count against the request yet; 0 if no end does, and for parts. */
  private possibleEndCount (trait: string, silent: readonly string[]): number {
    const ends = this.suspected.get(trait)?.ends
    return ends === undefined || isPart(trait) ? 0 : silent.filter(upstream => !ends.has(upstream)).length
  }

  private isLapsed (trait: string, known: SuspectedTrait, now: number): boolean {
    return this.lastAt(known) + policyOf(trait).retentionMilliseconds <= now
  }

  private lastAt ({ ends, refusedAt }: SuspectedTrait): number {
    return Math.max(refusedAt, ...ends.values())
  }

  private updateBlocked (trait: string, isBlocked: boolean): void {
    if (isBlocked === this.blocked.has(trait)) return
    if (isBlocked) this.blocked.add(trait)
    else this.blocked.delete(trait)
    this.reportBlocked({ trait, upstreams: [...this.suspected.get(trait)?.ends.keys() ?? []] }, !isBlocked)
    if (!isBlocked) return
    this.untold.suspected.add(trait)
    for (const other of [...this.suspected.keys()]) this.retainEnds(other, upstream => !this.isExplained(other, upstream))
  }

  /** Whether an end is put down to a refused trait against which more ends count. */
  private isExplained (trait: string, upstream: string): boolean {
    const count = this.suspected.get(trait)?.ends.size ?? 0
    return [...this.blocked].some(other => {
      if (other === trait || isBegunPart(other)) return false
      const ends = this.suspected.get(other)?.ends
      return ends !== undefined && ends.size > count && ends.has(upstream)
    })
  }

  private rank (suspected: SuspectedTrait & { readonly trait: string }): number {
    return this.blocked.has(suspected.trait) ? maximumEnds + 1 : suspected.ends.size
  }

  private evidenceOf (suspected: readonly string[], healthy: readonly string[], maximumCount: number, now: number): CrashEvidence {
    const known = suspected.flatMap(trait => {
      const state = this.suspected.get(trait)
      return state === undefined ? [] : [{ trait, ...state }]
    })
    const important = known.sort((left, right) => this.rank(right) - this.rank(left) || this.lastAt(right) - this.lastAt(left)).slice(0, maximumCount)
    return {
      suspicions: important.map(({ trait, ends, refusedAt }) => ({ trait, ends: [...ends].map(([upstream, at]) => [upstream, Math.round(now - at)] as const), refusedAgeMilliseconds: refusedAt === 0 ? -1 : Math.round(now - refusedAt), isBlocked: this.blocked.has(trait) })),
      healthy: healthy.slice(0, maximumCount).map(trait => [trait, Math.round(now - (this.healthy.get(trait) ?? now))] as const)
    }
  }
}

function policyOf (trait: string): Policy {
  if (!isPart(trait)) return policies.request
  return isBegunPart(trait) ? policies.begunPart : policies.part
}
