/** A TCP relay on loopback that counts bytes, so that control traffic is measured on the sockets, headers included. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { freshAddress } from '../launch.js'

/** Passes connections on to one address and counts what crosses. */
export class CountingRelay {
  private readonly sockets = new Set<Socket>()
  private crossed = 0

  private constructor (readonly address: string, private readonly server: Server, target: string) {
    server.on('connection', near => { this.join(near, target) })
  }

  /** Listens at a fresh address in front of `target` (`ip:port`). */
  static async before (target: string): Promise<CountingRelay> {
    const address = freshAddress()
    const [host, port] = address.split(':')
    const server = createServer()
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(Number(port), host, resolve)
    })
    return new CountingRelay(address, server, target)
  }

  /** Bytes that crossed so far, both ways. */
  get bytes (): number {
    return this.crossed
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  private join (near: Socket, target: string): void {
    const [host, port] = target.split(':')
    const far = connect(Number(port), host)
    this.pass(near, far)
    this.pass(far, near)
  }

  private pass (from: Socket, to: Socket): void {
    this.sockets.add(from)
    from.setNoDelay(true)
    from.on('data', part => {
      this.crossed += part.length
      to.write(part)
    })
    from.on('error', () => { to.destroy() })
    from.on('close', () => {
      this.sockets.delete(from)
      to.destroy()
    })
  }
}
