/** HTTP agent whose persistent connections are checked before they are used again. */
import { Agent, type ClientRequest, type ClientRequestArgs } from 'node:http'
import { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { observeConnection } from './connection-end.js'

/** The parts of Node's agent that its types lack or declare otherwise. */
interface AgentInternals {
  addRequest (request: ClientRequest, ...options: readonly unknown[]): void
  keepSocketAlive (socket: Socket): boolean
  reuseSocket (socket: Socket, request: never): void
}

const agentInternals = Agent.prototype as unknown as AgentInternals

/** Agent that closes an idle persistent connection on which bytes arrive: they could be taken for the answer to the next request. */
export class CheckedAgent extends Agent {
  /** Has what has arrived on idle connections read before one of them is reused: a process that was delayed has not seen it yet. */
  addRequest (request: ClientRequest, ...options: readonly unknown[]): void {
    const add = (): void => { agentInternals.addRequest.call(this, request, ...options) }
    if (Object.keys(this.freeSockets).length === 0) add()
    else setImmediate(add)
  }

  override createConnection (options: ClientRequestArgs, callback?: (error: Error | null, stream: Duplex) => void): Duplex | null | undefined {
    const socket = super.createConnection(options, callback)
    if (socket instanceof Socket) observeConnection(socket)
    return socket
  }

  override keepSocketAlive (socket: Socket): boolean {
    if (!agentInternals.keepSocketAlive.call(this, socket) || socket.readableLength > 0) return false
    socket.once('data', closeOnUnsolicitedData)
    return true
  }

  override reuseSocket (socket: Socket, request: never): void {
    socket.off('data', closeOnUnsolicitedData)
    agentInternals.reuseSocket.call(this, socket, request)
  }
}

function closeOnUnsolicitedData (this: Socket): void {
  this.destroy()
}
