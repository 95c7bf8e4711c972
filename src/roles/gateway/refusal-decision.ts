/** Whether a request of a service with expected times waits or is refused, and when its caller is to return. */
import { answerMilliseconds, completionIntervalMilliseconds } from '../../core/dispatch/admission.js'
import { chooseRetryAt, retryTimes } from '../../core/dispatch/caller-retry.js'
import { refusedShare, refusedShareOfPriority } from '../../core/dispatch/first-event-waits.js'
import { expectedDeadline, offeredFrom, queueDeadline, type PlacementFailure, type QueueingContext } from '../../core/dispatch/queueing.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { RoutedRequest, ServingContext } from './routed-request.js'

const log = logFor('requests')

/** Share of requests to refuse, as `refusedShare` gives it, above which late requests are queued instead of sent. */
const lateRefusalThreshold = 0.2
/** Time for a plain upstream's answer, in usual waits for the start of an answer. */
const plainAnswerWaits = 2

/** Why no upstream takes a request, and when one is expected to. */
export interface NoUpstream {
  readonly reason: PlacementFailure
  /** Milliseconds of the monotonic clock; undefined when it is not known. */
  readonly expectedAt: number | undefined
}

/** Decisions on one request; times are milliseconds of the monotonic clock. */
export class RefusalDecision {
  /** Random number in [0, 1), one for all refusal checks of the request. */
  private readonly sample: number
  /** Whether expected times decide. */
  readonly isAdaptive: boolean
  private readonly isRanked: boolean
  /** Whether it has been admitted to the queue. */
  private isQueued = false
  /** When it is offered to upstreams for the first time. */
  private offeredFrom = 0
  /** Whether it goes behind requests that can still meet their goal: it is late, or waits for the end of an outage past its goal. */
  isBehind: boolean

  constructor (private readonly context: ServingContext, private readonly request: RoutedRequest) {
    this.sample = context.random()
    const profile = context.profileOfService(request.service.name)
    this.isAdaptive = profile.isAdaptive
    this.isRanked = profile.isRanked
    this.isBehind = request.isLate
    if (this.isAdaptive) this.waits.recordArrival(monotonicNow(), request.isLate, this.priority)
    if (request.order !== undefined) context.queueOf(request.service.name).recordAsked(request.order)
  }

  /** When the caller was told to return, if the request is repeated too early once more; then it is refused at once. */
  returnTimeOfRepeat (): number | undefined {
    const { request, context } = this
    // Different requests without a body may have the same fingerprint.
    if (!this.isAdaptive || request.body.length === 0) return undefined
    return context.earlyRepeats.returnTimeOf(request.traits[0] ?? '', monotonicNow())
  }

  /** Whether first events take so long that the request gets no slot now: by the refused share, or above a threshold if it is late. Where expected times decide, late and queued requests are offered all the same. */
  isRefusedForOverload (): boolean {
    const { request, context } = this
    if (request.service.engine === undefined || (this.isAdaptive && (request.isLate || this.isQueued))) return false
    const wait = context.firstEventWaitsOf(request.service.name).medianMilliseconds(monotonicNow())
    const share = refusedShare(wait, request.route.latencyGoalMilliseconds, request.isLate)
    if (request.isLate) return share > lateRefusalThreshold
    return this.sample < (this.isRanked ? refusedShareOfPriority(share, this.priority, this.waits.arrivalsByPriority(monotonicNow())) : share)
  }

  /** Time until which the request waits; undefined if it is refused at once. */
  queueDeadline ({ reason, expectedAt }: NoUpstream, waiting: number): number | undefined {
    const { request, context } = this
    const now = monotonicNow()
    const queueing: QueueingContext = { now, arrivedAt: request.arrivedAt, deadline: request.deadline, goalMilliseconds: request.route.latencyGoalMilliseconds, isLate: request.isLate, reason, expectedAt, waiting }
    if (!this.isAdaptive) return queueDeadline(queueing)
    const answerMilliseconds = this.answerMilliseconds(now)
    const waitMilliseconds = this.waits.waitMilliseconds(request.isLate, waiting, now)
    const until = expectedDeadline(queueing, { waitMilliseconds, answerMilliseconds, queued: waiting, servable: reason === 'no-weights' ? this.servable(expectedAt ?? Infinity, request.deadline - answerMilliseconds) : 0 })
    if (until === undefined) return undefined
    this.isQueued = true
    if (reason === 'no-weights' && expectedAt !== undefined && expectedAt > request.arrivedAt + request.route.latencyGoalMilliseconds) {
      this.isBehind = true
      const latest = request.deadline - answerMilliseconds
      this.offeredFrom = offeredFrom(expectedAt, latest, waiting, this.startsUntil(latest))
    }
    context.metrics.count('waiting_requests_total', { service: request.service.name, reason })
    log.info('request waits for an upstream', { id: request.caller.id, route: request.route.name, service: request.service.name, reason, ahead: waiting, expectedWaitMilliseconds: Math.round(waitMilliseconds), expectedMilliseconds: expectedAt === undefined ? -1 : Math.round(expectedAt - now), untilMilliseconds: Math.round(until - now), isLate: request.isLate })
    return until
  }

  /** Whether a queued request can no longer be served in time, since no upstream is expected to serve by then any more. */
  isHopeless ({ reason, expectedAt }: NoUpstream): boolean {
    return this.isAdaptive && reason === 'no-weights' && (expectedAt === undefined || expectedAt > this.request.deadline - this.answerMilliseconds(monotonicNow()))
  }

  /** When the caller of the refused request is to return; `noUpstream` is undefined where an upstream was called. */
  retryAt (now: number, noUpstream: NoUpstream | undefined, waiting: number): number {
    const { request, context } = this
    const returnAt = this.chooseReturn(now, noUpstream, waiting)
    if (this.isAdaptive) context.earlyRepeats.recordRefused(request.traits[0] ?? '', now, returnAt)
    return returnAt
  }

  private chooseReturn (now: number, noUpstream: NoUpstream | undefined, waiting: number): number {
    const { request: { callerDeadline }, context } = this
    const reason = noUpstream?.reason
    if (reason === 'no-weights' || reason === 'no-upstream') return chooseRetryAt(now, callerDeadline, noUpstream?.expectedAt ?? Infinity, context.random)
    if (reason === 'limited' || reason === 'resting') return chooseRetryAt(now, callerDeadline, noUpstream?.expectedAt, context.random)
    if (!this.isAdaptive) return chooseRetryAt(now, callerDeadline, undefined, context.random)
    const { earliest, latest } = retryTimes(now, callerDeadline)
    return this.waits.returnAt(earliest, latest, waiting, now, context.random)
  }

  /** Whether the request is not offered yet, as others that waited for the end of an outage go first. */
  isHeldBack (): boolean {
    return monotonicNow() < this.offeredFrom
  }

  /** Requests of this entry that upstreams which are about to serve can start by `latest`, on-time ones that arrive by then included. */
  private startsUntil (latest: number): number {
    const { request: { service }, context } = this
    if (service.engine === undefined) return 0
    return context.pool.startsUntil(service.name, latest, completionIntervalMilliseconds(service.engine)) / Math.max(1, context.entryCount())
  }

  /** The same without those that arrive from `from` on; a fraction is rounded at random. */
  private servable (from: number, latest: number): number {
    return Math.floor(this.waits.servableBehindArrivals(this.startsUntil(latest), from, latest, monotonicNow()) + this.sample)
  }

  /** Usual time from sending the request to the end of its answer. */
  private answerMilliseconds (now: number): number {
    const { request: { service }, context } = this
    return service.engine === undefined ? plainAnswerWaits * context.firstEventWaitsOf(service.name).medianMilliseconds(now) : answerMilliseconds(service.engine)
  }

  private get waits () { return this.context.expectedWaitsOf(this.request.service.name) }

  private get priority (): number {
    return this.request.order?.rank ?? this.request.route.priority
  }
}
