/** Expected times of requests at the upstreams that one entry knows, from the paces that they state and the times of its calls. */
import { computedTime, expectedTime, isExpectedInTime, placementCost, type RequestWork, type UpstreamEstimate } from '../../core/dispatch/expected-time.js'
import { isNewsOf, maximumStatedPace, UpstreamPaces, type StatedPace } from '../../core/dispatch/upstream-pace.js'
import type { EngineFacts, Upstream } from '../../types/fleet.js'
import type { SlotReply } from '../../types/node-messages.js'
import type { StatedLoad } from '../../types/ports.js'
import { logFor } from '../../utils/log.js'
import { estimateLoad, type UpstreamView } from './upstream-view.js'

const log = logFor('instances')

/** Time between two log lines about invalid paces of one upstream, milliseconds. */
const invalidLogMilliseconds = 10_000
/** Share of a new measurement in the mean of a service of plain upstreams. */
const plainShare = 0.05
/** Time of a request at a plain upstream before one of its service has answered, milliseconds. */
const unmeasuredPlainMilliseconds = 50

/** A candidate whose expected time is asked for. */
export interface TimedUpstream {
  readonly view: UpstreamView
  readonly load: number
  readonly isSameDataCentre: boolean
}

/** What was expected of a call when it was sent, for its log line. */
export interface CallExpectation {
  /** Time to the first event or the plain answer. */
  readonly expectedMilliseconds: number
  readonly pace: number
  /** Age of the last pace that the upstream stated; -1 for none. */
  readonly paceAgeMilliseconds: number
}

/** A call whose time is measured. */
export interface MeasuredCall extends CallExpectation {
  /** Records that its answer has started. */
  readonly started: (startedAt: number) => void
}

/** Paces and measured times of all upstreams of one entry; times in milliseconds of the monotonic clock. */
export class ExpectedTimes {
  private readonly paces = new UpstreamPaces()
  /** Paces that the agents of engines know, from this entry or by their own replies. */
  private readonly knownToAgents = new Map<string, StatedPace & { readonly startedAt: number }>()
  /** Mean time of a request by service of plain upstreams, milliseconds. */
  private readonly plainMilliseconds = new Map<string, number>()
  /** When the next invalid pace of an upstream is logged. */
  private readonly nextInvalidLogAt = new Map<string, number>()

  constructor (private readonly engineOf: (service: string) => EngineFacts | undefined) {}

  /** Applies the load that an upstream states in an answer to this entry; returns the pace that its agent does not know, if any. */
  observe ({ upstream, inFlight }: UpstreamView, load: StatedLoad, now: number): number | undefined {
    const { id, startedAt } = upstream
    if (load.invalidPace !== undefined) this.logInvalid(id, load.invalidPace, now)
    this.paces.observeOthers(id, startedAt, Math.max(0, load.running + load.waiting - inFlight), now)
    if (load.pace === undefined) return undefined
    const known = this.knownToAgents.get(id)
    const isNews = isNewsOf(load.pace, known?.startedAt === startedAt ? known : undefined, this.paces.usualOf(id, startedAt), now)
    this.paces.observe(id, startedAt, { value: load.pace, at: now })
    if (!upstream.isEngine || !isNews) return undefined
    this.knownToAgents.set(id, { value: load.pace, at: now, startedAt })
    return load.pace
  }

  /** Applies the pace in an agent's reply; returns whether it is valid. */
  observeReply ({ upstream }: UpstreamView, { pace }: SlotReply, now: number): boolean {
    if (pace === undefined) return false
    if (!(pace.value > 0 && pace.value <= maximumStatedPace && pace.ageMilliseconds >= 0)) {
      this.logInvalid(upstream.id, `${pace.value} ${pace.ageMilliseconds}`, now)
      return false
    }
    const stated = { value: pace.value, at: now - pace.ageMilliseconds }
    this.paces.observeRelayed(upstream.id, upstream.startedAt, stated)
    this.knownToAgents.set(upstream.id, { ...stated, startedAt: upstream.startedAt })
    return true
  }

  /** What placement compares, milliseconds, see `placementCost`. */
  costOf (candidate: TimedUpstream, work: RequestWork, now: number): number {
    return placementCost(this.estimate(candidate, now), work)
  }

  /** Whether a request is expected to be served within its goal. */
  isInTime (candidate: TimedUpstream, work: RequestWork, now: number): boolean {
    return isExpectedInTime(this.estimate(candidate, now), work)
  }

  /** Expected time to the first event or the plain answer of a typical request, milliseconds. */
  typicalMilliseconds (view: UpstreamView, now: number): number {
    const engine = this.engineOf(view.upstream.service)
    const work = { promptTokens: engine?.typicalPromptTokens ?? 0, answerTokens: engine?.typicalAnswerTokens ?? 0, goalMilliseconds: 0 }
    return Math.round(expectedTime(this.estimate({ view, load: this.loadOf(view, now), isSameDataCentre: true }, now), work).firstEvent)
  }

  /** Requests expected at an upstream: those of this entry, and those of the others, see `UpstreamPaces.othersAt`. */
  loadOf (view: UpstreamView, now: number): number {
    const { upstream, inFlight } = view
    if (upstream.isEngine) return estimateLoad(view, now)
    const others = this.paces.othersAt(upstream.id, upstream.startedAt, this.plainMilliseconds.get(upstream.service) ?? unmeasuredPlainMilliseconds, now)
    return inFlight + (others ?? inFlight)
  }

  /** Pace expected of an upstream now, 1 for the usual one while none is known. */
  paceOf ({ id, startedAt }: Upstream, now: number): number {
    return this.paces.paceOf(id, startedAt, now)
  }

  /** Age of the last pace that an upstream stated, milliseconds; -1 for none. */
  ageOf ({ id, startedAt }: Upstream, now: number): number {
    const stated = this.paces.statedBy(id, startedAt)
    return stated === undefined ? -1 : Math.round(now - stated.at)
  }

  /** Begins to measure a request that is sent at `now`. */
  measure (view: UpstreamView, work: RequestWork, now: number): MeasuredCall {
    const { upstream } = view
    const candidate = { view, load: this.loadOf(view, now), isSameDataCentre: true }
    const estimate = this.estimate(candidate, now)
    const { firstEvent } = computedTime(estimate, work)
    return {
      expectedMilliseconds: Math.round(expectedTime(estimate, work).firstEvent),
      pace: estimate.pace,
      paceAgeMilliseconds: this.ageOf(upstream, now),
      started: startedAt => { this.recordMeasured(upstream, (startedAt - now) / (firstEvent * estimate.pace)) }
    }
  }

  /** Deletes what is known of an upstream that was removed. */
  forget (id: string): void {
    this.paces.forget(id)
    this.knownToAgents.delete(id)
    this.nextInvalidLogAt.delete(id)
  }

  private recordMeasured ({ id, startedAt, service }: Upstream, quotient: number): void {
    this.paces.recordMeasured(id, startedAt, quotient, this.unmeasured(service))
    if (this.engineOf(service) !== undefined || !(quotient > 0)) return
    const mean = this.plainMilliseconds.get(service) ?? quotient
    this.plainMilliseconds.set(service, mean + (quotient - mean) * plainShare)
  }

  private estimate ({ view, load, isSameDataCentre }: TimedUpstream, now: number): UpstreamEstimate {
    const { id, startedAt, slots, service } = view.upstream
    const engine = this.engineOf(service)
    const { pace, measured = this.unmeasured(service) } = this.paces.estimateOf(id, startedAt, now)
    return { slots, engine, load, unstarted: view.unstarted, pace, measured, isSameDataCentre }
  }

  /** Measured factor of an upstream before the first call there. */
  private unmeasured (service: string): number {
    return this.engineOf(service) === undefined ? this.plainMilliseconds.get(service) ?? unmeasuredPlainMilliseconds : 1
  }

  private logInvalid (upstream: string, pace: string, now: number): void {
    if (now < (this.nextInvalidLogAt.get(upstream) ?? 0)) return
    this.nextInvalidLogAt.set(upstream, now + invalidLogMilliseconds)
    log.warn('upstream states a pace that cannot be read; it counts as not stated', { upstream, pace })
  }
}
