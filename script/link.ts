/** A TCP link between two processes that a script can cut, block or make silent. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { freshAddress } from './launch.js'

/** Passes bytes from its own address to a target. */
export class Link {
  readonly listen = freshAddress()
  private readonly sockets = new Set<Socket>()
  private readonly server: Server
  private blocked = false

  constructor (private readonly target: string) {
    this.server = createServer(socket => { this.join(socket) })
  }

  /** Listens at its address. */
  open (): void {
    const [host, port] = this.listen.split(':')
    this.server.listen(Number(port), host)
  }

  /** Open connections stay open but carry nothing more; new ones work. */
  silence (): void {
    for (const socket of this.sockets) {
      socket.unpipe()
      socket.pause()
    }
    this.sockets.clear()
  }

  /** Resets open connections; new ones work. */
  cut (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  /** Resets open connections and those to come, until `unblock`. */
  block (): void {
    this.blocked = true
    this.cut()
  }

  unblock (): void {
    this.blocked = false
  }

  close (): void {
    this.block()
    this.server.close()
  }

  private join (near: Socket): void {
    if (this.blocked) {
      near.destroy()
      return
    }
    const [host, port] = this.target.split(':')
    const far = connect(Number(port), host)
    this.carry(near, far)
    this.carry(far, near)
    near.pipe(far)
    far.pipe(near)
  }

  private carry (socket: Socket, other: Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => { other.destroy() })
    socket.on('close', () => {
      if (this.sockets.delete(socket)) other.destroy()
    })
  }
}
