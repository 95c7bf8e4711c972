/** Where the answer to an HTTP request ends. */
import type { IncomingMessage } from 'node:http'
import { connectionEndOf } from './connection-end.js'

/** Whether the head of an answer determines where its body ends; otherwise the end of the connection does. */
export function isFramed (answer: IncomingMessage): boolean {
  return answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined || answer.statusCode === 204 || answer.statusCode === 304
}

/** Whether an answer that has ended is complete; one without framing is only if its connection, which must be observed, ended properly. */
export function isComplete (answer: IncomingMessage): boolean {
  const { hasEnded, hasFailed } = connectionEndOf(answer.socket)
  // Node sets `complete` for an answer without framing however its connection ended.
  return answer.complete && (isFramed(answer) || (hasEnded && !hasFailed))
}
