/** Timeouts of the callers' server, which change while connections are open: a caller gets the time that it was told. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerLimits } from '../../types/fleet.js'

/** Time beyond the named idle timeout for which a connection stays open, as in Node.js, milliseconds. */
const idleReserveMilliseconds = 1000

/** Applies the limits of each configuration to a server. */
export class CallerTimeouts {
  private readonly sockets = new Set<Socket>()
  private timer: NodeJS.Timeout | undefined
  /** Value that `headersTimeout` gets when the timer fires, milliseconds. */
  private nextHeadersTimeout: number | undefined

  constructor (private readonly server: Server) {
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => { this.sockets.delete(socket) })
    })
  }

  /** Puts limits in force: for requests from now on, and for open connections where they allow more time. */
  apply (limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds
    for (const socket of this.sockets) keepIdleFor(socket, limits.idleTimeoutMilliseconds)
    // Node.js counts the idle time of a new connection towards `headersTimeout` as well.
    this.applyHeadersTimeout(Math.max(limits.headerTimeoutMilliseconds, limits.idleTimeoutMilliseconds))
  }

  /** Keeps the connection of a request that has just arrived for the idle timeout that its answer names, also if a shorter one is in force by then. */
  keepPromise (incoming: IncomingMessage, response: ServerResponse): void {
    const { socket } = incoming
    const namedMilliseconds = this.server.keepAliveTimeout
    response.on('finish', () => { keepIdleFor(socket, namedMilliseconds) })
  }

  /** Ends the timer. */
  close (): void {
    clearTimeout(this.timer)
  }

  /** Raises the timeout at once, and lowers it once the heads and connections that began before have had their time. */
  private applyHeadersTimeout (milliseconds: number): void {
    const { server } = this
    if (milliseconds === this.nextHeadersTimeout) return
    clearTimeout(this.timer)
    this.nextHeadersTimeout = undefined
    if (milliseconds >= server.headersTimeout) {
      server.headersTimeout = milliseconds
      return
    }
    this.nextHeadersTimeout = milliseconds
    this.timer = setTimeout(() => {
      this.nextHeadersTimeout = undefined
      server.headersTimeout = milliseconds
    }, server.headersTimeout)
    this.timer.unref()
  }
}

/** Lets an idle connection stay open for at least a time from now on; one with a request in progress has no timeout and keeps none. */
function keepIdleFor (socket: Socket, milliseconds: number): void {
  const isIdle = socket.timeout !== undefined && socket.timeout > 0
  if (isIdle && socket.timeout < milliseconds + idleReserveMilliseconds) socket.setTimeout(milliseconds + idleReserveMilliseconds)
}
