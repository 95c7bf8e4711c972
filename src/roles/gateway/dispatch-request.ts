/** One request on its way over one or more upstreams. */
import type { ServerResponse } from 'node:http'
import { admissionFor } from '../../core/dispatch/admission.js'
import { queueDeadline, type PlacementFailure } from '../../core/dispatch/queueing.js'
import { refusedShare } from '../../core/dispatch/first-event-waits.js'
import { isRepeatable, nextStep } from '../../core/dispatch/next-step.js'
import { chooseRetryAt } from '../../core/dispatch/caller-retry.js'
import { answerStartDeadline, streamInactivityTimeoutMilliseconds } from '../../core/dispatch/answer-timeouts.js'
import { regionsFor } from '../../core/fleet/match-route.js'
import { fail, type FailureTag } from '../../errors.js'
import { steadyNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { CallerAnswer } from './caller-answer.js'
import type { RoutedRequest, ServingContext } from './routed-request.js'
import { CallInProgress, type CallResult } from './upstream-call.js'
import type { SelectionFailure } from './upstream-pool.js'
import { estimateLoad, type UpstreamView } from './upstream-view.js'

const log = logFor('requests')

/** Longest time to open a connection, milliseconds: a hundred round trips between regions. */
const connectTimeoutMilliseconds = 400
/** Timers may fire this early, milliseconds. */
const timerToleranceMilliseconds = 5
/** Refused share of on-time requests from which late ones wait. */
const lateRefusalThreshold = 0.2
/** Ranks at an upstream, 0 first. */
const ranks = { lateIncrement: 3, maximum: 9 } as const

/** A result that can go to the caller. */
type AnswerResult = Extract<CallResult, { readonly kind: 'answer' | 'stream-ended' }>

/** Serves one request from its placing to its final answer. */
export class RequestDispatch {
  private readonly tried = new Set<string>()
  private currentCall: CallInProgress | undefined
  private readonly callerDisconnect = new AbortController()
  private readonly refusalSample: number
  private noSlotReason: PlacementFailure = 'full'
  private ran = 0
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
        this.log('the caller left', view, result)
        return
      }
      if (this.isFinal(result)) {
        this.deliver(result)
        this.log('answered', view, result)
        return
      }
      if (!this.continueAfter(view, result)) return
    }
  }

  /** A place at an upstream; requests that wait already go first. */
  private async acquireSlot (): Promise<UpstreamView | undefined> {
    const isBehind = this.ran === 0 && this.context.queueOf(this.request.service.name).hasRequestsAhead(this.request.isLate)
    const view = (isBehind ? undefined : this.tryAcquireSlot()) ?? await this.waitForSlot()
    if (view === undefined || !this.callerDisconnect.signal.aborted) return view
    this.context.pool.recordStarted(view.upstream.id)
    this.context.pool.recordEnded(view.upstream.id, 'none')
    return undefined
  }

  /** Takes a place at an upstream; undefined, with the reason noted, when there is none. */
  private tryAcquireSlot (): UpstreamView | undefined {
    const view = this.isRefusedForOverload() ? 'waits' : this.chooseUpstream()
    if (typeof view === 'string') {
      this.noSlotReason = view
      return undefined
    }
    this.context.pool.recordSent(view.upstream.id)
    return view
  }

  /** Waits for a place where that can help, or states the failure. */
  private async waitForSlot (): Promise<UpstreamView | undefined> {
    const { request: job, context } = this
    const line = context.queueOf(job.service.name)
    const until = this.ran > 0
      ? undefined
      : queueDeadline({
        now: steadyNow(),
        arrivedAt: job.arrivedAt,
        deadline: job.deadline,
        goalMilliseconds: job.route.goalMilliseconds,
        isLate: job.isLate,
        reason: this.noSlotReason,
        expectedAt: context.pool.expectedReadyAt(job.service.name),
        waiting: line.count(job.isLate)
      })
    const view = until === undefined ? undefined : await line.wait(job.isLate, until, () => this.tryAcquireSlot(), this.callerDisconnect.signal)
    if (view === undefined && !this.callerDisconnect.signal.aborted) this.failWithoutSlot()
    return view
  }

  /** Whether so many wait for their first event that this request is refused for the others' sake, by chance if it is on time. */
  private isRefusedForOverload (): boolean {
    const { request: job, context } = this
    if (job.service.engine === undefined || this.ran > 0) return false
    const wait = context.firstEventWaitsOf(job.service.name).medianMilliseconds(steadyNow())
    const share = refusedShare(wait, job.route.goalMilliseconds, job.isLate)
    return job.isLate ? share > lateRefusalThreshold : this.refusalSample < share
  }

  private chooseUpstream (): UpstreamView | SelectionFailure {
    const { request: job, context } = this
    const { engine } = job.service
    return context.pool.choose({
      service: job.service,
      regions: regionsFor(job.route, job.organisation),
      admission: admissionFor({ route: job.route, engine, isLate: job.isLate && !this.answer.hasBegun, waitMilliseconds: context.firstEventWaitsOf(job.service.name).medianMilliseconds(steadyNow()) }),
      tried: this.tried,
      minimumVersion: this.minimumVersion(),
      streamVersion: this.answer.hasBegun ? this.streamVersion : undefined
    })
  }

  /** Lowest version of the weights that may serve the request. */
  private minimumVersion (): number | undefined {
    const { request: job, context } = this
    const { engine } = job.service
    return engine === undefined ? undefined : context.state.minimumVersion(job.caller.model ?? engine.models[0] ?? '')
  }

  private async call (view: UpstreamView): Promise<CallResult> {
    const { request: job, context } = this
    const { upstream } = view
    const now = steadyNow()
    const isStream = job.route.kind === 'stream'
    const agents = context.connections.agentsFor(upstream.id, job.service.mostConnections, context.entries().length)
    const least = this.minimumVersion()
    const headers = context.requests.upstreamHeaders(job.incoming.headers, {
      remainingMilliseconds: job.deadline - now,
      upstreamId: upstream.id,
      organisation: job.organisation?.name,
      rank: this.rank(),
      weightsVersion: least !== undefined && least > 1 ? view.weights?.version : undefined,
      lastEventId: this.answer.lastEventId ?? job.caller.lastEventId
    })
    this.sentAt = now
    if (!this.answer.hasBegun) this.streamVersion = view.weights?.version
    const waits = context.firstEventWaitsOf(job.service.name)
    const number = waits.recordSent(now)
    this.tried.add(upstream.id)
    this.currentCall = new CallInProgress({
      address: upstream.address,
      method: job.caller.method,
      target: job.caller.target,
      headers,
      body: job.body,
      agent: isRepeatable(job.route) ? agents.persistent : agents.singleUse,
      isResumed: this.answer.lastEventId !== undefined || job.caller.lastEventId !== undefined,
      requestId: job.caller.id,
      connectBy: Math.min(job.deadline, now + connectTimeoutMilliseconds),
      firstResponseBy: answerStartDeadline(job.route, this.ran, now, job.deadline),
      inactivityTimeoutMilliseconds: isRepeatable(job.route) ? streamInactivityTimeoutMilliseconds : job.deadline - now,
      finishBy: job.deadline,
      headReceived: head => { context.pool.applyAnswerLoad(upstream.id, head.load) },
      bytesReceived: () => { context.pool.recordActivity(upstream.id) },
      started: isAnswer => {
        context.pool.recordStarted(upstream.id)
        waits.recordStarted(number, steadyNow(), isAnswer)
      }
    }, context.requests, isStream ? this.answer : undefined)
    const result = await this.currentCall.result
    this.recordResult(view, result)
    return result
  }

  private rank (): number {
    const priority = this.request.organisation?.priority ?? this.request.route.priority
    return Math.min(ranks.maximum, priority + (this.request.isLate ? ranks.lateIncrement : 0))
  }

  /** Tells the pool how the call ended. */
  private recordResult (view: UpstreamView, result: CallResult): void {
    const { pool, suspects } = this.context
    const { id, startedAt } = view.upstream
    if (result.kind === 'answer') {
      pool.recordEnded(id, result.head.status >= 500 ? 'error' : 'good')
    } else if (result.kind === 'stream-ended') pool.recordEnded(id, 'good')
    else if (result.kind === 'lost') {
      pool.recordEnded(id, result.reason === 'cancelled' ? 'none' : result.reason === 'timeout' ? 'error' : 'lost')
      if (result.reason === 'reset' || result.reason === 'incomplete') suspects.record(this.request.fingerprint, [`${id}/${startedAt}`], steadyNow())
    } else {
      pool.recordEnded(id, result.reason === 'unreachable' ? 'unreachable' : result.reason === 'shed' ? 'shed' : 'none')
      if (result.reason === 'misdirected') pool.recordMisdirected(id)
    }
  }

  /** Whether a call's result goes to the caller: failures and uncertain ends are tried elsewhere where they may be. */
  private isFinal (result: CallResult): result is AnswerResult {
    if (result.kind !== 'answer' && result.kind !== 'stream-ended') return false
    const isGood = result.isFramed && (result.kind === 'stream-ended' || result.head.status < 500)
    if (isGood || !isRepeatable(this.request.route)) return true
    return this.ran + 1 >= this.request.route.mostUpstreams || steadyNow() >= this.request.deadline
  }

  private deliver (result: AnswerResult): void {
    if (result.kind === 'stream-ended') this.answer.end(result.isFramed)
    else this.answer.send(result.head.status, result.headers, result.body, result.isFramed)
  }

  /** Prepares the next call, or states the failure; false when the request is over. */
  private continueAfter (view: UpstreamView, result: CallResult): boolean {
    if (result.kind === 'not-run') this.refused += 1
    else this.ran += 1
    const { request: job, context } = this
    const now = steadyNow()
    const progress = { route: job.route, ran: this.ran, refused: this.refused, hasBegun: this.answer.hasBegun, isPastDeadline: now >= job.deadline - timerToleranceMilliseconds, hasBudget: true }
    const step = nextStep(progress)
    const isUnreached = result.kind === 'not-run' && result.reason === 'unreachable'
    const mayResend = step.kind === 'resend' && (isUnreached || context.budget.take(job.service.name, context.entries().length, now))
    const final = step.kind === 'fail' ? step : nextStep({ ...progress, hasBudget: false })
    this.log(mayResend ? 'sending to another upstream' : 'giving up', view, result)
    if (mayResend || final.kind === 'resend') return true
    if (result.kind === 'answer' || result.kind === 'stream-ended') this.deliver(result)
    else this.fail(final.tag)
    return false
  }

  private failWithoutSlot (): void {
    const isOutage = this.noSlotReason === 'no-weights'
    this.fail(this.ran > 0 ? 'upstream-lost' : isOutage ? 'no-weights' : 'busy', this.noSlotReason)
  }

  private fail (tag: FailureTag, reason = ''): void {
    const { request: job, context } = this
    const now = steadyNow()
    const failure = fail(tag)
    const isRefusal = failure.outcome === 'not-run'
    const expectedAt = reason === 'no-weights' || reason === 'no-upstream' ? context.pool.expectedReadyAt(job.service.name) ?? Infinity : undefined
    const comeBackAt = isRefusal ? chooseRetryAt(now, job.callerDeadline, expectedAt, context.random) : now
    this.answer.fail(failure, isRefusal ? comeBackAt - now : undefined)
    context.metrics.count('refusals_total', { reason: tag })
    log.info('a request failed', {
      id: job.caller.id,
      route: job.route.name,
      service: job.service.name,
      reason: tag,
      placing: reason,
      ran: this.ran,
      refused: this.refused,
      isLate: job.isLate,
      waitMilliseconds: Math.round(context.firstEventWaitsOf(job.service.name).medianMilliseconds(now)),
      busyPercent: Math.round(this.context.pool.loadShare(job.service.name) * 100),
      heldMilliseconds: Math.round(now - job.arrivedAt),
      returnMilliseconds: Math.round(comeBackAt - now)
    })
  }

  private log (sentence: string, view: UpstreamView, result: CallResult): void {
    const { request: job } = this
    const now = steadyNow()
    const first = this.answer.firstByteAt === undefined ? -1 : Math.round(this.answer.firstByteAt - job.arrivedAt)
    if (result.kind === 'answer' || result.kind === 'stream-ended') {
      this.context.metrics.observe('first_byte_milliseconds', { route: job.route.name }, Math.max(0, first))
      this.context.metrics.observe('answer_milliseconds', { route: job.route.name }, now - job.arrivedAt)
    }
    log.info(sentence, {
      id: job.caller.id,
      route: job.route.name,
      upstream: view.upstream.id,
      load: estimateLoad(view, now),
      loadAgeMilliseconds: view.observedLoad.at === 0 ? -1 : Math.round(this.sentAt - view.observedLoad.at),
      version: view.weights?.version ?? 0,
      result: result.kind,
      reason: 'reason' in result ? result.reason : result.kind === 'answer' ? String(result.head.status) : '',
      isLate: job.isLate,
      patienceMilliseconds: Math.round(job.callerDeadline - job.arrivedAt),
      events: this.answer.eventCount,
      firstMilliseconds: first,
      milliseconds: Math.round(now - job.arrivedAt)
    })
  }
}
