/** Dispatches one request: selects upstreams, calls them one after another, and answers or fails. */
import type { ServerResponse } from 'node:http'
import { admissionFor } from '../../core/dispatch/admission.js'
import { permitDeadline, repeatDeadline, type PlacementFailure } from '../../core/dispatch/queueing.js'
import { SlotSearch } from '../../core/dispatch/slot-requests.js'
import { nextStep, type RequestProgress } from '../../core/dispatch/next-step.js'
import { mayTakeOver, stepAfterEnd } from '../../core/dispatch/takeover.js'
import { regionsFor } from '../../core/fleet/match-route.js'
import { createFailure, type FailureTag } from '../../errors.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { logCall, logFailure } from './call-log.js'
import { crashFailure } from './call-evidence.js'
import type { CallerAnswer } from './caller-answer.js'
import { EndedCalls } from './ended-calls.js'
import { RefusalDecision, type NoUpstream } from './refusal-decision.js'
import { workOf, type RoutedRequest, type ServingContext } from './routed-request.js'
import { RequestCalls, type EndedAttempt } from './request-calls.js'
import type { CallResult, NotRunReason } from './call-result.js'
import type { SelectionFailure } from './upstream-selection.js'
import type { UpstreamView } from './upstream-view.js'

const log = logFor('requests')

/** Timers may fire up to this much early, milliseconds. */
const timerToleranceMilliseconds = 5
/** Results of calls of which the upstream received nothing; another one needs no retry budget. */
const unsentReasons: ReadonlySet<NotRunReason> = new Set(['unreachable', 'no-connection', 'withdrawn'])
/** Interval at which a request that is silent everywhere looks for another upstream, milliseconds. */
const takeoverIntervalMilliseconds = 100

/** Serves one request until its final answer or failure. */
export class RequestDispatch {
  private readonly calls: RequestCalls
  private readonly callerDisconnect = new AbortController()
  private readonly decision: RefusalDecision
  private noSlotReason: PlacementFailure = 'full'
  private readonly ended = new EndedCalls()
  /** Search for the slot of the next call. */
  private search = new SlotSearch()
  private takeoverTimer: NodeJS.Timeout | undefined
  /** Whether the final answer was delivered. */
  private isOver = false

  constructor (private readonly context: ServingContext, private readonly request: RoutedRequest, private readonly answer: CallerAnswer, private readonly response: ServerResponse) {
    this.decision = new RefusalDecision(context, request)
    this.calls = new RequestCalls(context, request, answer, () => { this.considerTakeover() })
    response.on('close', () => {
      if (response.writableFinished) return
      this.callerDisconnect.abort()
      this.calls.cancel()
    })
  }

  async run (): Promise<void> {
    if (this.response.destroyed) return
    const returnAt = this.decision.returnTimeOfRepeat()
    if (returnAt !== undefined) {
      this.fail('busy', 'early-repeat', returnAt)
      return
    }
    let view = await this.acquireSlot()
    while (view !== undefined) {
      this.startCall(view)
      view = await this.awaitCalls() ? await this.acquireSlot() : undefined
    }
  }

  /** Waits for the ends of all calls, answers with the first that is usable, and returns whether another call is to be made. */
  private async awaitCalls (): Promise<boolean> {
    for (;;) {
      const attempt = await this.calls.next()
      const others = this.calls.count
      if (this.isOver || this.callerDisconnect.signal.aborted) {
        this.log(this.isOver ? 'call cancelled: the request is answered' : 'caller disconnected; request abandoned', attempt)
      } else {
        const step = stepAfterEnd(this.progress(), this.ended.yieldOf(attempt.result, this.answer.hasBegun), others)
        if (step === 'decide') return this.continueAfter(attempt)
        if (step === 'deliver') this.endWith(attempt)
        else this.countAndAwaitOthers(attempt)
      }
      if (others === 0) return false
    }
  }

  /** Answers the caller with a call's result. */
  private endWith (attempt: EndedAttempt): void {
    this.isOver = true
    this.deliver(attempt.result)
    this.calls.cancel()
    this.log('request ended with the answer of this upstream', attempt)
  }

  private countAndAwaitOthers (attempt: EndedAttempt): void {
    this.ended.count(attempt.result)
    this.log('attempt ended; another upstream may still answer', attempt)
    this.considerTakeover()
  }

  /** Calls another upstream beside silent ones if one may run the request; where none can take it yet, looks again later. */
  private considerTakeover (): void {
    const { request, context } = this
    clearTimeout(this.takeoverTimer)
    if (this.isOver || this.callerDisconnect.signal.aborted || !mayTakeOver(this.progress(), this.calls.open, this.calls.endedCount) || context.suspects.isSuspect(request.traits, this.calls.openUpstreams)) return
    const [service, entries, now] = [request.service.name, context.entryCount(), monotonicNow()]
    const view = context.budget.hasRetry(service, entries, now) ? this.chooseUpstream(undefined) : 'full'
    if (typeof view === 'string') {
      this.takeoverTimer = setTimeout(() => { this.considerTakeover() }, takeoverIntervalMilliseconds)
      return
    }
    context.budget.take(service, entries, now)
    context.pool.recordSent(view.upstream.id)
    log.info('upstream silent; another one is called as well', { id: request.caller.id, route: request.route.name, upstream: view.upstream.id, inProgress: this.calls.count, events: this.answer.eventCount, ran: this.ended.ran, withdrawn: this.ended.withdrawn, refused: this.ended.refused })
    try {
      this.startCall(view)
    } catch (error) {
      log.error('another upstream could not be called beside a silent one', { id: request.caller.id, upstream: view.upstream.id, reason: String(error) })
    }
  }

  /** Calls an upstream of which a slot was taken; throws, with the slot given back, if no call can be made of the request. */
  private startCall (view: UpstreamView): void {
    try {
      this.calls.start(view, this.ended.attempts + this.calls.count)
    } catch (error) {
      this.releaseSlot(view)
      throw error
    }
  }

  private progress (): RequestProgress {
    const { request, calls, answer } = this
    const { ran, withdrawn } = this.ended
    return { route: request.route, ran, withdrawn, refused: calls.refusals, hasForeignAnswer: calls.hasForeignAnswer, hasBegun: answer.hasBegun, isPastDeadline: monotonicNow() >= request.deadline - timerToleranceMilliseconds, hasBudget: true }
  }

  /** Takes a slot at an upstream, behind requests that are queued already; undefined when the request is over. */
  private async acquireSlot (): Promise<UpstreamView | undefined> {
    this.search = new SlotSearch(this.request.order)
    const mustQueue = !this.mayHaveRun && this.context.queueOf(this.request.service.name).hasRequestsAhead(this.request.isLate, this.request.order)
    // Behind others the request is not offered now, but during an outage it waits for its end as they do.
    if (mustQueue && this.decision.isAdaptive && this.chooseUpstream(undefined) === 'no-weights') this.noSlotReason = 'no-weights'
    const view = (mustQueue ? undefined : this.tryAcquireSlot()) ?? await this.waitForSlot()
    const hasLeft = this.callerDisconnect.signal.aborted
    const tag = view === undefined ? undefined : crashFailure(this.context.suspects, this.request.traits, this.ended.attempts)
    if (view === undefined || (tag === undefined && !hasLeft)) return view
    this.releaseSlot(view)
    if (tag !== undefined && !hasLeft) this.fail(tag)
    return undefined
  }

  /** Gives back the slot of a call that is not made. */
  private releaseSlot (view: UpstreamView): void {
    this.context.pool.recordStarted(view.upstream.id)
    this.context.pool.recordEnded(view.upstream.id, 'none')
  }

  /** Takes a slot at an upstream; without a free one it sets `noSlotReason` and returns undefined. */
  private tryAcquireSlot (): UpstreamView | undefined {
    if (!this.mayHaveRun && this.decision.isHeldBack()) return undefined
    const view = !this.mayHaveRun && this.decision.isRefusedForOverload() ? 'waits' : this.chooseUpstream(this.search)
    if (typeof view === 'string') {
      this.noSlotReason = view
      return undefined
    }
    this.context.pool.recordSent(view.upstream.id)
    return view
  }

  /** Queues the request if it may wait for a slot; fails it if it may not, or if none was free in time. */
  private async waitForSlot (): Promise<UpstreamView | undefined> {
    const { request, context } = this
    const queue = context.queueOf(request.service.name)
    const until = this.mayHaveRun
      ? this.deadlineOfRepeat()
      : this.decision.queueDeadline(this.noUpstream(), queue.count(this.noSlotReason === 'no-weights' && this.decision.isAdaptive ? true : request.isLate, request.order))
    const hopeless = new AbortController()
    const takeSlot = (): UpstreamView | undefined => {
      const view = this.tryAcquireSlot()
      if (view === undefined && !this.mayHaveRun && this.noSlotReason === 'no-weights' && this.decision.isHopeless(this.noUpstream())) hopeless.abort()
      return view
    }
    const view = until === undefined ? undefined : await queue.wait(this.decision.isBehind, until, takeSlot, AbortSignal.any([this.callerDisconnect.signal, hopeless.signal]), request.order)
    context.metrics.count('queued_requests_total', { service: request.service.name, reason: this.noSlotReason, result: until === undefined ? 'not-queued' : view === undefined ? 'not-placed' : 'placed' })
    if (view === undefined && !this.callerDisconnect.signal.aborted) this.failWithoutSlot()
    return view
  }

  /** Time until which a request that may have run waits for a slot; undefined if it does not. */
  private deadlineOfRepeat (): number | undefined {
    const { deadline, route } = this.request
    const now = monotonicNow()
    if (this.noSlotReason === 'limited' || this.noSlotReason === 'asked') return permitDeadline(now, deadline)
    if (this.calls.hasForeignAnswer) return repeatDeadline(now, deadline, route.latencyGoalMilliseconds)
    return undefined
  }

  private chooseUpstream (search: SlotSearch | undefined): UpstreamView | SelectionFailure {
    const { request, context } = this
    const { engine } = request.service
    return context.pool.choose({
      service: request.service,
      regions: regionsFor(request.route, request.organisation),
      admission: admissionFor({ route: request.route, engine, isLate: this.decision.isBehind && !this.answer.hasBegun, isRanked: request.order !== undefined, waitMilliseconds: context.firstEventWaitsOf(request.service.name).medianMilliseconds(monotonicNow()) }),
      tried: this.calls.tried,
      minimumVersion: this.minimumVersion(),
      streamVersion: this.calls.startedBy?.weights?.version,
      search,
      work: context.profileOfService(request.service.name).placesByTime ? workOf(request, !this.mayHaveRun && !this.answer.hasBegun) : undefined
    })
  }

  private get mayHaveRun (): boolean {
    return this.ended.attempts > 0
  }

  private minimumVersion (): number | undefined {
    return this.request.model === undefined ? undefined : this.context.state.minimumVersion(this.request.model)
  }

  private deliver (result: CallResult): void {
    if (result.kind === 'stream-ended') this.answer.end()
    else if (result.kind === 'answer') this.answer.send(result.head.status, result.headers, result.body, result.isFramed)
  }

  /** Decides on another call after the last one, which is not final; otherwise answers or fails the request and returns false. */
  private continueAfter (attempt: EndedAttempt): boolean {
    const { result } = attempt
    this.ended.count(result)
    const { request, context } = this
    const progress = this.progress()
    const step = nextStep(progress)
    const isUnsent = result.kind === 'not-run' && unsentReasons.has(result.reason)
    const isHeldBack = this.ended.ran > 0 && context.suspects.isSuspect(request.traits)
    const mayResend = step.kind === 'resend' && !isHeldBack && (isUnsent || context.budget.take(request.service.name, context.entryCount(), monotonicNow()))
    const final = step.kind === 'fail' ? step : nextStep({ ...progress, hasBudget: false })
    this.log(mayResend ? 'attempt failed; trying another upstream' : 'attempt failed; no further attempt allowed', attempt)
    if (mayResend || final.kind === 'resend') return true
    if (result.kind === 'answer') this.deliver(result)
    else this.fail(final.tag)
    return false
  }

  /** Why no upstream takes the request, and when one is expected to: to serve at all or, where only rests or limits prevent it, after its rest or within its limit. */
  private noUpstream (): NoUpstream {
    return { reason: this.noSlotReason, expectedAt: this.context.pool.expectedAt(this.request.service.name, this.noSlotReason) }
  }

  private failWithoutSlot (): void {
    this.fail(this.mayHaveRun ? 'upstream-lost' : this.noSlotReason === 'no-weights' ? 'no-weights' : 'busy', this.noSlotReason)
  }

  /** Sends a failure to the caller; `noSlotReason` is set when no upstream could be called, `returnAt` when its caller was told before when to return. */
  private fail (tag: FailureTag, noSlotReason = '', returnAt?: number): void {
    const { request, context, answer } = this
    if (this.ended.hasEmpty && answer.eventCount === 0) {
      // The caller itself resumed this stream, and nothing contradicts the answer that it got.
      answer.end()
      return
    }
    const now = monotonicNow()
    const failure = createFailure(tag)
    const isRefusal = failure.outcome === 'not-run' && !tag.startsWith('crashing')
    const waiting = context.queueOf(request.service.name).count(request.isLate)
    const retryAt = !isRefusal ? now : returnAt ?? this.decision.retryAt(now, noSlotReason === '' ? undefined : this.noUpstream(), waiting)
    this.answer.fail(failure, isRefusal ? retryAt - now : undefined)
    context.metrics.count('refusals_total', { reason: tag })
    if (noSlotReason !== '') context.metrics.count('requests_without_slot_total', { service: request.service.name, reason: noSlotReason })
    logFailure({ request, tag, noSlotReason, ran: this.ended.ran, withdrawn: this.ended.withdrawn, refused: this.ended.refused, now, waiting, retryAt }, context)
  }

  private log (sentence: string, attempt: EndedAttempt): void {
    const { request, answer } = this
    const { ran, withdrawn, refused } = this.ended
    logCall(sentence, { request, answer, ...attempt, counts: { ran, withdrawn, refused, inProgress: this.calls.count } }, this.context)
  }
}
