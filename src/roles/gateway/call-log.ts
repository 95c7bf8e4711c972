/** Log lines and metrics about the results of calls to upstreams. */
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { CallerAnswer } from './caller-answer.js'
import type { RoutedRequest, ServingContext } from './routed-request.js'
import type { CallResult } from './upstream-call.js'
import { estimateLoad, type UpstreamView } from './upstream-view.js'

const log = logFor('requests')

/** A call that has ended. */
export interface EndedCall {
  readonly request: RoutedRequest
  readonly answer: CallerAnswer
  readonly view: UpstreamView
  readonly result: CallResult
  /** When it was sent, milliseconds of the monotonic clock. */
  readonly sentAt: number
}

/** Logs the result of a call and records the times of an answer; -1 stands for a time that is not known. */
export function logCall (sentence: string, { request, answer, view, result, sentAt }: EndedCall, { metrics, state }: ServingContext): void {
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
    version: view.weights?.version ?? 0,
    result: result.kind,
    reason: 'reason' in result ? result.reason : result.kind === 'answer' ? String(result.head.status) : '',
    end: 'isFramed' in result ? result.isFramed ? 'framed' : 'connection' : '',
    configuration: state.table?.configuration.version ?? 0,
    isLate: request.isLate,
    callerTimeoutMilliseconds: Math.round(request.callerDeadline - request.arrivedAt),
    events: answer.eventCount,
    firstByteMilliseconds,
    milliseconds: Math.round(now - request.arrivedAt)
  })
}
