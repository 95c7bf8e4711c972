/** To which request an upstream's answer belongs, and what its connection tells afterwards. */
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { isFramed } from '../../transports/answer-end.js'
import { connectionEndOf } from '../../transports/connection-end.js'
import type { AnswerHead } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'

/** Time after a complete error in which the loss of its connection is taken for the end of the upstream, milliseconds. */
const connectionWatchMilliseconds = 300

/**
 * Whether an answer belongs to the request that waits for it. On a connection that has carried another request before, one
 * without an id may be a late one to that.
 */
export function isAnswerTo (requestId: string, { requestId: answered }: AnswerHead, outgoing: ClientRequest): boolean {
  return answered === requestId || (answered === undefined && !outgoing.reusedSocket)
}

/** Whether both sides said that the connection remains open after an answer. */
export function isPersistent (answer: IncomingMessage, outgoing: ClientRequest): boolean {
  return outgoing.shouldKeepAlive && answer.headers.connection?.toLowerCase() !== 'close' && isFramed(answer)
}

/** Calls `lost` if the connection of a complete error is lost right after it: an upstream that ends by a request may do so then. */
export function watchForEnd (socket: Socket, lost: () => void): void {
  const state = connectionEndOf(socket)
  const until = monotonicNow() + connectionWatchMilliseconds
  socket.once('close', () => { if ((state.hasFailed || state.hasEnded) && monotonicNow() < until) lost() })
}
