/** Where an upstream's answer ends, and to which request it belongs. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { AnswerHead } from '../../types/ports.js'

/**
 * Whether an answer belongs to the request that waits for it. On a connection that has carried another request before, one
 * without an id may be a late one to that.
 */
export function isAnswerTo (requestId: string, { requestId: answered }: AnswerHead, outgoing: ClientRequest): boolean {
  return answered === requestId || (answered === undefined && !outgoing.reusedSocket)
}

/** Whether the head of an answer determines where its body ends; otherwise the end of the connection does. */
export function isFramed (answer: IncomingMessage): boolean {
  return answer.headers['content-length'] !== undefined || answer.headers['transfer-encoding'] !== undefined || answer.statusCode === 204 || answer.statusCode === 304
}

/** Whether both sides said that the connection remains open after an answer. */
export function isPersistent (answer: IncomingMessage, outgoing: ClientRequest): boolean {
  return outgoing.shouldKeepAlive && answer.headers.connection?.toLowerCase() !== 'close' && isFramed(answer)
}
