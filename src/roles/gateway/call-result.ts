/** How a call to an upstream ended. */
import type { IncomingHttpHeaders } from 'node:http'
import type { AnswerHead } from '../../types/ports.js'

/** How a call ended. */
export type CallResult =
  /** A complete answer that is no stream, whatever its status; one that is not framed ended with its connection. */
  | { readonly kind: 'answer', readonly head: AnswerHead, readonly headers: IncomingHttpHeaders, readonly body: Buffer, readonly isFramed: boolean }
  /** The stream ended properly between two events, by its framing or with its connection; `isEmpty` for a resumed one without any. */
  | { readonly kind: 'stream-ended', readonly isFramed: boolean, readonly isEmpty: boolean }
  /** The upstream has certainly not run the request. */
  | { readonly kind: 'not-run', readonly reason: NotRunReason }
  /** The upstream may have run the request. `isDiscontinuous` marks events that do not continue the stream that the call resumes: the upstream is to blame, not its connection. */
  | { readonly kind: 'lost', readonly reason: LostReason, readonly isDiscontinuous?: true }

/** No connection (`unreachable`), all connections that this entry may open in use (`no-connection`), refused by the upstream (`shed`), another upstream or other weights at the address (`misdirected`), or not sent because the upstream gets no more requests, the connection came too late or the call was cancelled before it had one (`withdrawn`). */
export type NotRunReason = 'unreachable' | 'no-connection' | 'shed' | 'misdirected' | 'withdrawn'
/**
 * Connection reset (`reset`), `finishBy` passed (`timeout`), an answer to another request, or one that is unsigned or
 * encoded (`wrong-answer`), a status that no final answer has (`invalid-status`), another head that no answer may have (`invalid-head`), an answer, stream or event over `maximumAnswerBytes` or `maximumEventBytes`, or over
 * `maximumInterimAnswers` before it (`too-large`), an answer that ended early (`incomplete`), or a call that the entry
 * cancelled, while it was silent (`silent`) or not (`cancelled`), or because it would begin on weights that are too old
 * (`withdrawn`).
 */
export type LostReason = 'reset' | 'silent' | 'timeout' | 'wrong-answer' | 'invalid-status' | 'invalid-head' | 'too-large' | 'incomplete' | 'cancelled' | 'withdrawn'
