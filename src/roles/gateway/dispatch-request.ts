/** Dispatches one request: selects upstreams, calls them one after another, and answers or fails. */
import type { ServerResponse } from 'node:http'
import { admissionFor } from '../../core/dispatch/admission.js'
import { permitDeadline, queueDeadline, type PlacementFailure } from '../../core/dispatch/queueing.js'
import { refusedShare } from '../../core/dispatch/first-event-waits.js'
import { isRepeatable, nextStep } from '../../core/dispatch/next-step.js'
import { chooseRetryAt } from '../../core/dispatch/caller-retry.js'
import { answerStartDeadline, streamInactivityTimeoutMilliseconds } from '../../core/dispatch/answer-timeouts.js'
import { regionsFor } from '../../core/fleet/match-route.js'
import { createFailure, type FailureTag } from '../../errors.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { logCall } from './call-log.js'
import { CallEvidence, crashFailure } from './call-evidence.js'
import type { CallerAnswer } from './caller-answer.js'
import type { RoutedRequest, ServingContext } from './routed-request.js'
import { CallInProgress, type CallResult, type NotRunReason } from './upstream-call.js'
import type { SelectionFailure } from './upstream-pool.js'
import type { UpstreamView } from './upstream-view.js'

const log = logFor('requests')

/** Timeout of opening a connection, milliseconds: about a hundred round trips between regions. */
const connectTimeoutMilliseconds = 400
/** Timers may fire up to this much early, milliseconds. */
const timerToleranceMilliseconds = 5
/** Results of calls of which the upstream received nothing; another one needs no retry budget. */
const unsentReasons: ReadonlySet<NotRunReason> = new Set(['unreachable', 'no-connection', 'withdrawn'])
/** Share of requests to refuse, as `refusedShare` gives it, above which late requests are queued instead of sent. */
const lateRefusalThreshold = 0.2
/** Ranks at an upstream, 0 the most urgent: a late request ranks behind those that can still meet their goal. */
const ranks = { lateIncrement: 3, maximum: 9 } as const

/** A result that carries an answer for the caller. */
type AnswerResult = Extract<CallResult, { readonly kind: 'answer' | 'stream-ended' }>

/** Serves one request until its final answer or failure. */
export class RequestDispatch {
  private readonly tried = new Set<string>()
  private currentCall: CallInProgress | undefined
  private readonly callerDisconnect = new AbortController()
  /** Random number in [0, 1), one for all refusal checks of the request. */
  private readonly refusalSample: number
  private noSlotReason: PlacementFailure = 'full'
  /** Calls whose upstream may have run the request. */
  private ran = 0
  /** Calls whose upstream certainly did not run it. */
  private refused = 0
  private sentAt = 0
  private streamVersion: number | undefined

  constructor (private readonly context: ServingContext, private readonly request: RoutedRequest, private readonly answer: CallerAnswer, private readonly response: ServerResponse) {
    this.refusalSample = context.random()
    response.on('close', () => {
      if (response.writableFinished) return
      this.callerDisconnect.abort()
      this.currentCall?.cancel()
    })
  }

  async run (): Promise<void> {
    if (this.response.destroyed) return
    for (;;) {
      const view = await this.acquireSlot()
      if (view === undefined) return
      const result = await this.call(view)
      if (this.callerDisconnect.signal.aborted) {
        this.log('caller disconnected; request abandoned', view, result)
        return
      }
      if (this.isFinal(result)) {
        this.deliver(result)
        this.log('request ended with the answer of this upstream', view, result)
        return
      }
      if (!this.continueAfter(view, result)) return
    }
  }

  /** Takes a slot at an upstream, behind requests that are queued already; undefined when the request is over. */
  private async acquireSlot (): Promise<UpstreamView | undefined> {
    const mustQueue = this.ran === 0 && this.context.queueOf(this.request.service.name).hasRequestsAhead(this.request.isLate)
    const view = (mustQueue ? undefined : this.tryAcquireSlot()) ?? await this.waitForSlot()
    const tag = view === undefined ? undefined : crashFailure(this.context.suspects, this.request.traits, this.ran)
    if (view === undefined || (tag === undefined && !this.callerDisconnect.signal.aborted)) return view
    this.context.pool.recordStarted(view.upstream.id)
    this.context.pool.recordEnded(view.upstream.id, 'none')
    if (tag !== undefined && !this.callerDisconnect.signal.aborted) this.fail(tag)
    return undefined
  }

  /** Takes a slot at an upstream; without a free one it sets `noSlotReason` and returns undefined. */
  private tryAcquireSlot (): UpstreamView | undefined {
    const view = this.isRefusedForOverload() ? 'waits' : this.chooseUpstream()
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
    const until = this.ran > 0
      ? this.noSlotReason === 'limited' ? permitDeadline(monotonicNow(), request.deadline) : undefined
      : queueDeadline({
        now: monotonicNow(),
        arrivedAt: request.arrivedAt,
        deadline: request.deadline,
        goalMilliseconds: request.route.latencyGoalMilliseconds,
        isLate: request.isLate,
        reason: this.noSlotReason,
        expectedAt: this.expectedAt(),
        waiting: queue.count(request.isLate)
      })
    const view = until === undefined ? undefined : await queue.wait(request.isLate, until, () => this.tryAcquireSlot(), this.callerDisconnect.signal)
    if (view === undefined && !this.callerDisconnect.signal.aborted) this.failWithoutSlot()
    return view
  }

  /** Whether first events take so long that this request gets no slot now: at random by the refused share, or above a threshold if it is late. */
  private isRefusedForOverload (): boolean {
    const { request, context } = this
    if (request.service.engine === undefined || this.ran > 0) return false
    const wait = context.firstEventWaitsOf(request.service.name).medianMilliseconds(monotonicNow())
    const share = refusedShare(wait, request.route.latencyGoalMilliseconds, request.isLate)
    return request.isLate ? share > lateRefusalThreshold : this.refusalSample < share
  }

  private chooseUpstream (): UpstreamView | SelectionFailure {
    const { request, context } = this
    const { engine } = request.service
    return context.pool.choose({
      service: request.service,
      regions: regionsFor(request.route, request.organisation),
      admission: admissionFor({ route: request.route, engine, isLate: request.isLate && !this.answer.hasBegun, waitMilliseconds: context.firstEventWaitsOf(request.service.name).medianMilliseconds(monotonicNow()) }),
      tried: this.tried,
      minimumVersion: this.minimumVersion(),
      streamVersion: this.answer.hasBegun ? this.streamVersion : undefined
    })
  }

  private minimumVersion (): number | undefined {
    const { request, context } = this
    const { engine } = request.service
    return engine === undefined ? undefined : context.state.minimumVersion(request.caller.model ?? engine.models[0] ?? '')
  }

  private async call (view: UpstreamView): Promise<CallResult> {
    const { request, context } = this
    const { upstream } = view
    const now = monotonicNow()
    const isStream = request.route.kind === 'stream'
    context.metrics.count('upstream_requests_total', { upstream: upstream.id })
    const agents = context.connections.agentsFor(upstream.id, request.service.maximumConnections, context.entryCount())
    const minimumVersion = this.minimumVersion()
    const headers = context.requests.upstreamHeaders(request.incoming.headers, {
      remainingMilliseconds: request.deadline - now,
      upstreamId: upstream.id,
      organisation: request.organisation?.name,
      rank: this.rank(),
      weightsVersion: minimumVersion !== undefined && minimumVersion > 1 ? view.weights?.version : undefined,
      lastEventId: this.answer.lastEventId ?? request.caller.lastEventId
    })
    this.sentAt = now
    if (!this.answer.hasBegun) this.streamVersion = view.weights?.version
    const waits = context.firstEventWaitsOf(request.service.name)
    const waitNumber = waits.recordSent(now)
    const evidence = new CallEvidence(context.suspects, request.traits, upstream)
    this.tried.add(upstream.id)
    this.currentCall = new CallInProgress({
      address: upstream.address,
      method: request.caller.method,
      target: request.caller.target,
      headers,
      body: request.body,
      agent: isRepeatable(request.route) ? agents.persistent : agents.singleUse,
      isResumed: this.answer.lastEventId !== undefined || request.caller.lastEventId !== undefined,
      requestId: request.caller.id,
      connectBy: Math.min(request.deadline, now + connectTimeoutMilliseconds),
      isWithdrawn: () => context.pool.isWithdrawn(upstream.id),
      firstResponseBy: answerStartDeadline(request.route, this.ran, now, request.deadline),
      inactivityTimeoutMilliseconds: isRepeatable(request.route) ? streamInactivityTimeoutMilliseconds : request.deadline - now,
      finishBy: request.deadline,
      headReceived: head => {
        context.pool.applyAnswerHead(upstream.id, head, now)
        evidence.recordHead(head.status)
      },
      bytesReceived: () => { context.pool.recordActivity(upstream.id) },
      started: isAnswer => {
        context.pool.recordStarted(upstream.id)
        waits.recordStarted(waitNumber, monotonicNow(), isAnswer)
        if (isAnswer) evidence.recordBegun()
      }
    }, context.requests, isStream ? this.answer : undefined)
    const result = await this.currentCall.result
    evidence.recordResult(result)
    this.recordResult(view, result)
    return result
  }

  private rank (): number {
    const priority = this.request.organisation?.priority ?? this.request.route.priority
    return Math.min(ranks.maximum, priority + (this.request.isLate ? ranks.lateIncrement : 0))
  }

  /** Records how a call ended, for the health of its upstream. */
  private recordResult (view: UpstreamView, result: CallResult): void {
    const { pool } = this.context
    const { id } = view.upstream
    if (result.kind === 'answer') {
      pool.recordEnded(id, result.head.status >= 500 ? 'error' : 'good')
    } else if (result.kind === 'stream-ended') pool.recordEnded(id, 'good')
    else if (result.kind === 'lost') {
      pool.recordEnded(id, result.reason === 'cancelled' ? 'none' : result.reason === 'timeout' ? 'error' : 'lost')
    } else {
      pool.recordEnded(id, result.reason === 'unreachable' ? 'unreachable' : result.reason === 'shed' || result.reason === 'no-connection' ? 'shed' : 'none')
      if (result.reason === 'misdirected') pool.recordMisdirected(id)
    }
  }

  /** Whether a result is the final answer. An error, or an answer that may be incomplete, is not while a repeatable request may try another upstream. */
  private isFinal (result: CallResult): result is AnswerResult {
    if (result.kind !== 'answer' && result.kind !== 'stream-ended') return false
    const isGood = result.isFramed && (result.kind === 'stream-ended' || result.head.status < 500)
    if (isGood || !isRepeatable(this.request.route)) return true
    return this.ran + 1 >= this.request.route.maximumUpstreams || monotonicNow() >= this.request.deadline
  }

  private deliver (result: AnswerResult): void {
    if (result.kind === 'stream-ended') this.answer.end(result.isFramed)
    else this.answer.send(result.head.status, result.headers, result.body, result.isFramed)
  }

  /** Decides on another call after one that is not final; otherwise answers or fails the request and returns false. */
  private continueAfter (view: UpstreamView, result: CallResult): boolean {
    if (result.kind === 'not-run') this.refused += 1
    else this.ran += 1
    const { request, context } = this
    const now = monotonicNow()
    const progress = { route: request.route, ran: this.ran, refused: this.refused, hasBegun: this.answer.hasBegun, isPastDeadline: now >= request.deadline - timerToleranceMilliseconds, hasBudget: true }
    const step = nextStep(progress)
    const isUnsent = result.kind === 'not-run' && unsentReasons.has(result.reason)
    const isHeldBack = this.ran > 0 && context.suspects.isSuspect(request.traits)
    const mayResend = step.kind === 'resend' && !isHeldBack && (isUnsent || context.budget.take(request.service.name, context.entryCount(), now))
    const final = step.kind === 'fail' ? step : nextStep({ ...progress, hasBudget: false })
    this.log(mayResend ? 'attempt failed; trying another upstream' : 'attempt failed; no further attempt allowed', view, result)
    if (mayResend || final.kind === 'resend') return true
    if (result.kind === 'answer' || result.kind === 'stream-ended') this.deliver(result)
    else this.fail(final.tag)
    return false
  }

  /** When an upstream is expected to take the request: to serve at all or, where only limits prevent it, within its limit. */
  private expectedAt (): number | undefined {
    const { context: { pool }, request: { service } } = this
    return this.noSlotReason === 'limited' ? pool.expectedPermitAt(service.name) : pool.expectedReadyAt(service.name)
  }

  private failWithoutSlot (): void {
    this.fail(this.ran > 0 ? 'upstream-lost' : this.noSlotReason === 'no-weights' ? 'no-weights' : 'busy', this.noSlotReason)
  }

  /** Sends a failure to the caller; `noSlotReason` is set when no upstream could be called. */
  private fail (tag: FailureTag, noSlotReason = ''): void {
    const { request, context } = this
    const now = monotonicNow()
    const failure = createFailure(tag)
    const isRefusal = failure.outcome === 'not-run' && !tag.startsWith('crashing')
    const isOutage = noSlotReason === 'no-weights' || noSlotReason === 'no-upstream'
    const expectedAt = isOutage ? this.expectedAt() ?? Infinity : noSlotReason === 'limited' ? this.expectedAt() : undefined
    const retryAt = isRefusal ? chooseRetryAt(now, request.callerDeadline, expectedAt, context.random) : now
    this.answer.fail(failure, isRefusal ? retryAt - now : undefined)
    context.metrics.count('refusals_total', { reason: tag })
    log.info('request failed: no upstream answered it completely', {
      id: request.caller.id,
      route: request.route.name,
      service: request.service.name,
      reason: tag,
      noSlotReason,
      ran: this.ran,
      refused: this.refused,
      isLate: request.isLate,
      firstEventWaitMilliseconds: Math.round(context.firstEventWaitsOf(request.service.name).medianMilliseconds(now)),
      loadPercent: Math.round(this.context.pool.loadShare(request.service.name) * 100),
      elapsedMilliseconds: Math.round(now - request.arrivedAt),
      retryAfterMilliseconds: Math.round(retryAt - now)
    })
  }

  private log (sentence: string, view: UpstreamView, result: CallResult): void {
    const { request, answer, sentAt } = this
    logCall(sentence, { request, answer, view, result, sentAt }, this.context)
  }
}
