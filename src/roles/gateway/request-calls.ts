/** The calls of one request to upstreams; several may be in progress, and the first one to go on cancels the others. */
import { answerStartDeadline, streamInactivityTimeoutMilliseconds } from '../../core/dispatch/answer-timeouts.js'
import { isRepeatable } from '../../core/dispatch/next-step.js'
import type { CallOutcome } from '../../core/dispatch/upstream-health.js'
import { basicRank } from '../../core/dispatch/rank.js'
import { RunEvidence } from '../../core/dispatch/run-evidence.js'
import type { OpenCall } from '../../core/dispatch/takeover.js'
import { expectedVersion } from '../../core/weights/start-cutoffs.js'
import { monotonicNow } from '../../utils/clock.js'
import { incarnationOf, recordCallEnd } from './call-evidence.js'
import type { CallerAnswer } from './caller-answer.js'
import type { CallExpectation } from './expected-times.js'
import { workOf, type RoutedRequest, type ServingContext } from './routed-request.js'
import type { CallResult, LostReason, NotRunReason } from './call-result.js'
import { CallInProgress } from './upstream-call.js'
import type { UpstreamView } from './upstream-view.js'
import type { EventSink } from './event-sink.js'

/** Timeout of opening a connection, milliseconds: about a hundred round trips between regions. */
const connectTimeoutMilliseconds = 400

/** What each kind of loss says about the health of its upstream. */
const lossEvidence: Readonly<Record<LostReason, CallOutcome | 'none'>> = {
  reset: 'lost',
  'wrong-answer': 'lost',
  'invalid-status': 'lost',
  'invalid-head': 'lost',
  'too-large': 'lost',
  incomplete: 'lost',
  silent: 'silent',
  timeout: 'error',
  cancelled: 'none',
  withdrawn: 'none'
}

/** A call that has ended; `sentAt` in milliseconds of the monotonic clock. */
export interface EndedAttempt {
  readonly view: UpstreamView
  readonly sentAt: number
  readonly expectation: CallExpectation
  readonly result: CallResult
}

/** Makes the calls of one request, passes on the events of one of them at a time, and records how each ended. */
export class RequestCalls {
  /** Ids of the upstreams called so far that are not to be called again. */
  readonly tried = new Set<string>()
  /** The upstream whose stream the caller's answer began with. */
  startedBy: UpstreamView | undefined
  /** Calls in progress, with the incarnation of their upstream. */
  private readonly inProgress = new Map<CallInProgress, string>()
  private receivedForeignAnswer = false
  private refusalCount = 0
  /** Upstreams that refused the request, without those that were called again. */
  private readonly refusedBy = new Set<string>()
  private readonly ended: EndedAttempt[] = []
  private wake: () => void = () => {}

  /** `silent` is called when a call becomes silent. */
  constructor (private readonly context: ServingContext, private readonly request: RoutedRequest, private readonly answer: CallerAnswer, private readonly silent: () => void) {}

  /** Calls that are in progress, or whose end `next` has not returned yet. */
  get count (): number {
    return this.inProgress.size + this.ended.length
  }

  /** Calls whose end `next` has not returned yet. */
  get endedCount (): number {
    return this.ended.length
  }

  /** Whether a call received the answer to another request. */
  get hasForeignAnswer (): boolean {
    return this.receivedForeignAnswer
  }

  /** Calls whose upstream certainly did not run the request, since one received the answer to another request: from then on its caller cannot be told to try again. */
  get refusals (): number {
    return this.refusalCount
  }

  /** Calls in progress. */
  get open (): readonly OpenCall[] {
    return [...this.inProgress.keys()]
  }

  /** Incarnations of the upstreams of the calls in progress. */
  get openUpstreams (): readonly string[] {
    return [...this.inProgress.values()]
  }

  /** The next call that ends. */
  async next (): Promise<EndedAttempt> {
    for (;;) {
      const attempt = this.ended.shift()
      if (attempt !== undefined) return attempt
      await new Promise<void>(resolve => { this.wake = resolve })
    }
  }

  /** Cancels all calls. */
  cancel (): void {
    for (const call of this.inProgress.keys()) call.cancel()
  }

  /** Calls an upstream of which a slot was taken; `ran` others may have run the request. */
  start (view: UpstreamView, ran: number): void {
    const { request, context } = this
    const { upstream } = view
    const isStream = request.route.kind === 'stream'
    const now = monotonicNow()
    context.metrics.count('upstream_requests_total', { upstream: upstream.id })
    const agents = context.connections.agentsFor(upstream.id, request.service.maximumConnections, context.entryCount())
    const ids = { ...this.answer.ids, last: this.answer.ids.last ?? request.caller.lastEventId }
    const headers = context.requests.upstreamHeaders(request.incoming.headers, {
      remainingMilliseconds: request.deadline - now,
      upstreamId: upstream.id,
      organisation: request.organisation?.name,
      rank: this.rank(),
      weightsVersion: expectedVersion(request.model === undefined ? undefined : view.weights?.version),
      lastEventId: ids.last
    })
    const waits = context.firstEventWaitsOf(request.service.name)
    this.tried.add(upstream.id)
    this.refusedBy.delete(upstream.id)
    const call: CallInProgress = new CallInProgress({
      address: upstream.address,
      method: request.caller.method,
      target: request.caller.target,
      headers,
      body: request.body,
      // On a new connection no late answer to another request can arrive.
      agent: isRepeatable(request.route) && !this.receivedForeignAnswer ? agents.persistent : agents.singleUse,
      resumedAfter: ids.last === undefined ? undefined : ids,
      requestId: request.caller.id,
      connectBy: Math.min(request.deadline, now + connectTimeoutMilliseconds),
      isWithdrawn: () => context.pool.isWithdrawn(upstream.id),
      firstResponseBy: answerStartDeadline(request.route, ran, now, request.deadline),
      inactivityTimeoutMilliseconds: isRepeatable(request.route) ? streamInactivityTimeoutMilliseconds : request.deadline - now,
      finishBy: request.deadline,
      headReceived: head => { context.pool.applyAnswerHead(upstream, head, now) },
      bytesReceived: () => {
        context.pool.recordActivity(upstream.id)
        evidence.recordBytes(monotonicNow())
      },
      silent: this.silent,
      lostAfterError: () => { evidence.recordLostAfterError(monotonicNow()) },
      started: isAnswer => {
        context.pool.recordStarted(upstream.id, isAnswer ? now : undefined)
        waits.recordStarted(waitNumber, monotonicNow(), isAnswer)
        if (isAnswer) measured.started(monotonicNow())
        if (isAnswer) context.expectedWaitsOf(request.service.name).recordStart(monotonicNow())
        stopWatching?.()
      }
    }, context.requests, isStream ? this.sinkFor(view, () => call, () => { evidence.recordFirstEvent(monotonicNow()) }) : undefined)
    const evidence = new RunEvidence(context.suspects, context.unprovedRuns, request.traits, incarnationOf(upstream), now)
    const measured = context.pool.times.measure(view, workOf(request), now)
    const waitNumber = waits.recordSent(now)
    const stopWatching = isStream ? context.unstartedCalls.add(request.model, view, call) : undefined
    this.inProgress.set(call, incarnationOf(upstream))
    call.result.then(result => {
      recordCallEnd(evidence, result)
      this.handleEnd(call, { view, sentAt: now, expectation: measured, result })
    }, () => {})
  }

  /** Passes on the events of a call once the others are cancelled: they would repeat them. */
  private sinkFor (view: UpstreamView, call: () => CallInProgress, begun: () => void): EventSink {
    const goOn = (): void => {
      for (const other of this.inProgress.keys()) if (other !== call()) other.cancel()
    }
    const { answer } = this
    return {
      begin: headers => {
        this.startedBy ??= view
        begun()
        answer.begin(headers)
      },
      event: event => {
        goOn()
        answer.event(event)
      },
      get waitingBytes () { return answer.waitingBytes }
    }
  }

  private handleEnd (call: CallInProgress, attempt: EndedAttempt): void {
    this.inProgress.delete(call)
    this.recordResult(attempt)
    this.ended.push(attempt)
    this.wake()
  }

  /** The connection is to blame: the same upstream may be called again, on a new one. */
  private recordForeignAnswer (id: string): void {
    this.receivedForeignAnswer = true
    this.refusalCount = 0
    this.tried.delete(id)
    this.reopenRefusing()
  }

  private recordRefusal (id: string, reason: NotRunReason): void {
    this.refusalCount += 1
    if (reason === 'shed') this.refusedBy.add(id)
    if (this.receivedForeignAnswer) this.reopenRefusing()
  }

  /** Upstreams that refused may be called again: the request has not run there, and its repeat waits for a slot. */
  private reopenRefusing (): void {
    for (const id of this.refusedBy) this.tried.delete(id)
  }

  private rank (): number {
    const { route, organisation, isLate, order } = this.request
    return order === undefined ? basicRank(route, organisation, isLate) : order.rank
  }

  /** Records how a call ended, for the health of its upstream. */
  private recordResult ({ view, sentAt, result }: EndedAttempt): void {
    const { pool } = this.context
    const { id } = view.upstream
    if (result.kind === 'answer') {
      pool.recordEnded(id, result.head.status >= 500 ? 'error' : 'good', sentAt)
    } else if (result.kind === 'stream-ended') pool.recordEnded(id, 'good')
    else if (result.kind === 'lost') {
      pool.recordEnded(id, lossEvidence[result.reason], sentAt)
      if (result.reason === 'wrong-answer' && result.isDiscontinuous !== true) this.recordForeignAnswer(id)
    } else {
      this.recordRefusal(id, result.reason)
      pool.recordEnded(id, result.reason === 'unreachable' ? 'unreachable' : result.reason === 'shed' || result.reason === 'no-connection' ? 'shed' : 'none', sentAt)
      if (result.reason === 'misdirected') pool.recordMisdirected(id)
    }
  }
}
