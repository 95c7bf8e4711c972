/** Log lines and metrics about the results of calls to upstreams. */
import type { FailureTag } from '../../errors.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { CallerAnswer } from './caller-answer.js'
import type { CallExpectation } from './expected-times.js'
import type { RoutedRequest, ServingContext } from './routed-request.js'
import type { CallResult } from './call-result.js'
import { estimateLoad, type UpstreamView } from './upstream-view.js'

const log = logFor('requests')

/** Longest expected wait that is logged, milliseconds; also stands for one that is not known. */
const maximumLoggedMilliseconds = 60_000

/** A call that has ended. */
export interface EndedCall {
  readonly request: RoutedRequest
  readonly answer: CallerAnswer
  readonly view: UpstreamView
  readonly result: CallResult
  /** When it was sent, milliseconds of the monotonic clock. */
  readonly sentAt: number
  readonly expectation: CallExpectation
  readonly counts: CallCounts
}

/** Calls of a request that failed so far, by whether their upstreams may have run it (`ran`), it was withdrawn from them, or they certainly did not run it (`refused`), and its other calls that have not ended. */
export interface CallCounts {
  readonly ran: number
  readonly withdrawn: number
  readonly refused: number
  readonly inProgress: number
}

/** Logs the result of a call and records the times of an answer; -1 stands for a time that is not known. */
export function logCall (sentence: string, { request, answer, view, result, sentAt, expectation, counts }: EndedCall, { metrics, state, profileOfService }: ServingContext): void {
  const now = monotonicNow()
  const firstByteMilliseconds = answer.firstByteAt === undefined ? -1 : Math.round(answer.firstByteAt - request.arrivedAt)
  if (result.kind === 'answer' || result.kind === 'stream-ended') {
    metrics.observe('first_byte_milliseconds', { route: request.route.name }, Math.max(0, firstByteMilliseconds))
    metrics.observe('answer_milliseconds', { route: request.route.name }, now - request.arrivedAt)
  }
  log.info(sentence, {
    id: request.caller.id,
    route: request.route.name,
    upstream: view.upstream.id,
    load: estimateLoad(view, now),
    loadAgeMilliseconds: view.observedLoad.at === 0 ? -1 : Math.round(sentAt - view.observedLoad.at),
    placedBy: profileOfService(request.service.name).placesByTime ? 'time' : 'number',
    expectedMilliseconds: expectation.expectedMilliseconds,
    pace: Math.round(expectation.pace * 100) / 100,
    paceAgeMilliseconds: expectation.paceAgeMilliseconds,
    version: view.weights?.version ?? 0,
    result: result.kind,
    reason: 'reason' in result ? result.reason : result.kind === 'answer' ? String(result.head.status) : '',
    attemptMilliseconds: Math.round(now - sentAt),
    ...counts,
    maximumUpstreams: request.route.maximumUpstreams,
    end: 'isFramed' in result ? result.isFramed ? 'framed' : 'connection' : '',
    configuration: state.table?.configuration.version ?? 0,
    isLate: request.isLate,
    rank: request.order?.rank ?? -1,
    organisation: request.organisation?.name ?? '',
    callerTimeoutMilliseconds: Math.round(request.callerDeadline - request.arrivedAt),
    events: answer.eventCount,
    firstByteMilliseconds,
    milliseconds: Math.round(now - request.arrivedAt)
  })
}

/** A request that failed; times in milliseconds of the monotonic clock. */
export interface FailedRequest {
  readonly request: RoutedRequest
  readonly tag: FailureTag
  /** Why no upstream could be called; empty if one was. */
  readonly noSlotReason: string
  readonly ran: number
  readonly withdrawn: number
  readonly refused: number
  readonly now: number
  /** Requests of the same kind, late or not, that wait at this entry. */
  readonly waiting: number
  /** When the caller is told to try again. */
  readonly retryAt: number
}

/** Logs a request that no upstream answered completely. */
export function logFailure ({ request, tag, noSlotReason, ran, withdrawn, refused, now, waiting, retryAt }: FailedRequest, context: ServingContext): void {
  log.info('request failed: no upstream answered it completely', {
    id: request.caller.id,
    route: request.route.name,
    service: request.service.name,
    reason: tag,
    noSlotReason,
    configuration: context.state.table?.configuration.version ?? 0,
    ran,
    withdrawn,
    refused,
    isLate: request.isLate,
    rank: request.order?.rank ?? -1,
    organisation: request.organisation?.name ?? '',
    firstEventWaitMilliseconds: Math.round(context.firstEventWaitsOf(request.service.name).medianMilliseconds(now)),
    loadPercent: Math.round(context.pool.loadShare(request.service.name) * 100),
    elapsedMilliseconds: Math.round(now - request.arrivedAt),
    waiting,
    expectedWaitMilliseconds: Math.round(Math.min(maximumLoggedMilliseconds, context.expectedWaitsOf(request.service.name).waitMilliseconds(request.isLate, waiting, now))),
    retryAfterMilliseconds: Math.round(retryAt - now)
  })
}
