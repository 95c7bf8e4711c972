/** The limits that upstreams name, kept by all entries together: one grants permits for each upstream, the others ask it for them. */
import { NamedLimits, type GossipedLimit } from '../../core/dispatch/named-limits.js'
import { coldPermitMilliseconds } from '../../core/dispatch/cold-rate.js'
import { GrantingRanks, HeldPermits, PermitGrantor, type FleetView, type PermitGrant } from '../../core/dispatch/shared-rate.js'
import { sample } from '../../core/fleet/gossip-plan.js'
import type { Upstream } from '../../types/fleet.js'
import type { PermitAnswer, PermitRequest } from '../../types/node-messages.js'
import type { AnswerHead } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('limits')

/** Time between two log lines about invalid limits of one upstream, milliseconds. */
const invalidLogMilliseconds = 10_000
/** Limits in one gossip message, so that it stays within a packet. */
const maximumGossipedLimits = 8
/** Permits of one upstream that an entry uses in a second if it holds one at a time: one for each round trip and check of its queue. */
const singlePermitsPerSecond = 10
/** Time after which an entry asks again that had asked one that does not grant, milliseconds: a round of gossip, after which their views agree. */
const misdirectedMilliseconds = 500

/** Age of the statement without a limit in a request for a permit of a cold upstream, milliseconds: older than any limit that an entry knows, so that it changes none. */
const unnamedAgeMilliseconds = 60_000

/** What the limits need to know of the entry that they belong to. */
export interface LimitsContext {
  fleet (): FleetView
  /** Sends a message to the entry `instance`, without a guarantee of delivery. */
  send (message: PermitRequest, instance: string): void
  /** Start of an upstream, epoch milliseconds; undefined for one that is not listed. */
  startOf (upstreamId: string): number | undefined
  /** Requests a second that a cold upstream takes by permits; undefined for one that needs none for this. */
  coldRate: (upstreamId: string) => number | undefined
}

/** Limits of all upstreams of one entry. */
export class UpstreamLimits {
  private readonly named = new NamedLimits()
  private readonly ranks = new GrantingRanks()
  private readonly grantor = new PermitGrantor()
  private readonly held = new HeldPermits()
  /** When the next invalid limit of an upstream is logged, milliseconds of the monotonic clock. */
  private readonly nextInvalidLogAt = new Map<string, number>()

  constructor (private readonly context: LimitsContext) {}

  /** Applies the head of an answer to a request that was sent at `sentAt`, milliseconds of the monotonic clock. A limit that cannot be read changes nothing. */
  observe ({ id, startedAt }: Upstream, { limit }: AnswerHead, sentAt: number): void {
    const now = monotonicNow()
    if (limit.kind === 'invalid') {
      this.logInvalid(id, limit.text, now)
      return
    }
    const perSecond = limit.kind === 'limit' ? limit.perSecond : undefined
    const previous = this.named.describe(id, startedAt, now)?.perSecond
    if (this.named.observe(id, { startedAt, perSecond, sentAt, now })) logChange(id, perSecond, previous, 'answer')
  }

  /** Applies limits that another entry, at `source`, knows. */
  merge (limits: readonly GossipedLimit[], source: string): void {
    const now = monotonicNow()
    for (const limit of limits) {
      const startedAt = this.context.startOf(limit.upstreamId)
      if (startedAt === undefined) continue
      const previous = this.named.describe(limit.upstreamId, startedAt, now)?.perSecond
      if (this.named.merge(limit, startedAt, now)) logChange(limit.upstreamId, limit.perSecond, previous, source)
    }
  }

  /** Some of the limits, for one gossip message. */
  gossip (): readonly GossipedLimit[] {
    return sample(this.named.all(monotonicNow()), maximumGossipedLimits, Math.random)
  }

  /** Requests a second that an upstream takes from all entries together; undefined for any number. */
  perSecond ({ id, startedAt }: Upstream): number | undefined {
    return this.named.describe(id, startedAt, monotonicNow())?.perSecond
  }

  /** Whether requests to an upstream need a permit now. */
  isLimited ({ id, startedAt }: Upstream): boolean {
    return this.rateOf(id, startedAt, monotonicNow()) !== undefined
  }

  /** Whether a request may be sent to an upstream now. */
  mayTake (upstream: Upstream): boolean {
    return !this.isLimited(upstream) || this.held.has(upstream.id, monotonicNow())
  }

  /** Uses the permit for a request that is sent. */
  take (upstream: Upstream): void {
    if (this.isLimited(upstream)) this.held.take(upstream.id, monotonicNow())
  }

  /** Asks for a permit to send a request to a limited upstream; `mayTake` tells once there is one. */
  requestPermit ({ id, startedAt }: Upstream): void {
    const now = monotonicNow()
    const rate = this.rateOf(id, startedAt, now)
    if (rate === undefined) return
    const limit = this.named.describe(id, startedAt, now) ?? { upstreamId: id, startedAt, perSecond: undefined, ageMilliseconds: unnamedAgeMilliseconds }
    const fleet = this.context.fleet()
    const enough = 1 + Math.floor(rate / fleet.ready.length / singlePermitsPerSecond)
    const number = this.held.ask(id, enough, now)
    if (number === undefined) return
    const grantingEntry = this.ranks.grantorOf(id, fleet, now)
    if (grantingEntry === fleet.self) this.hold(id, number, this.grant(id, startedAt, fleet, now), now)
    else this.context.send({ kind: 'permit-request', number, limit }, grantingEntry)
  }

  /** Answers another entry's request for a permit; undefined for an upstream that is not listed here. */
  answer (request: PermitRequest, source: string): PermitAnswer | undefined {
    const { upstreamId } = request.limit
    const startedAt = this.context.startOf(upstreamId)
    if (startedAt === undefined) return undefined
    this.merge([request.limit], source)
    const now = monotonicNow()
    const grant = this.grant(upstreamId, startedAt, this.context.fleet(), now)
    const limit = this.named.describe(upstreamId, startedAt, now) ?? request.limit
    return { kind: 'permit-answer', number: request.number, limit, retryInMilliseconds: grant.kind === 'granted' ? -1 : Math.max(0, Math.ceil(grant.retryAt - now)) }
  }

  /** Applies the answer to a request for a permit. */
  receive ({ number, limit, retryInMilliseconds }: PermitAnswer, source: string): void {
    this.merge([limit], source)
    const now = monotonicNow()
    this.hold(limit.upstreamId, number, retryInMilliseconds < 0 ? { kind: 'granted' } : { kind: 'denied', retryAt: now + retryInMilliseconds }, now)
  }

  /** When a request may be sent to an upstream at the earliest, milliseconds of the monotonic clock; undefined while that is not known. */
  expectedAt (upstream: Upstream): number | undefined {
    const now = monotonicNow()
    return this.isLimited(upstream) ? this.held.expectedAt(upstream.id, now) : now
  }

  /** Deletes the limit of an upstream that was removed. */
  forget (id: string): void {
    this.named.forget(id)
    this.ranks.forget(id)
    this.grantor.forget(id)
    this.held.forget(id)
    this.nextInvalidLogAt.delete(id)
  }

  /** Whether the entry that grants the permits of an upstream did not answer this one. */
  isUnanswered ({ id }: Upstream): boolean {
    return this.held.isUnanswered(id, monotonicNow())
  }

  /** Requests a second for which an upstream needs permits, as it names a limit or is cold; undefined for any number. */
  private rateOf (id: string, startedAt: number, now: number): number | undefined {
    const rate = Math.min(this.named.rateOf(id, startedAt, now) ?? Infinity, this.context.coldRate(id) ?? Infinity)
    return rate === Infinity ? undefined : rate
  }

  private hold (id: string, number: number, grant: PermitGrant, now: number): void {
    this.held.receive(id, number, grant, now, this.context.coldRate(id) === undefined ? undefined : coldPermitMilliseconds)
  }

  private grant (id: string, startedAt: number, fleet: FleetView, now: number): PermitGrant {
    const share = this.ranks.grantedShare(id, fleet, now)
    const rate = this.rateOf(id, startedAt, now)
    if (share === 0) {
      this.grantor.forget(id)
      return { kind: 'denied', retryAt: now + misdirectedMilliseconds }
    }
    return rate === undefined ? { kind: 'granted' } : this.grantor.grant(id, rate * share, now)
  }

  private logInvalid (upstream: string, text: string, now: number): void {
    if (now < (this.nextInvalidLogAt.get(upstream) ?? 0)) return
    this.nextInvalidLogAt.set(upstream, now + invalidLogMilliseconds)
    log.warn('upstream names a limit that cannot be read; the limit known so far stays', { upstream, limit: text })
  }
}

/** Logs a new limit; -1 stands for none. */
function logChange (upstream: string, perSecond: number | undefined, previous: number | undefined, source: string): void {
  log.info('upstream limit changed', { upstream, perSecond: perSecond ?? -1, previousPerSecond: previous ?? -1, source })
}
