/** A server that answers any request with bytes that do not end. */
import { createServer, type AddressInfo, type Socket } from 'node:net'

/** What a flood sends. */
export interface Flood {
  /** Sent once, before the rest. */
  readonly prefix: string | Buffer
  /** Sent again and again; undefined for an answer that ends with `prefix`. */
  readonly part: Buffer | undefined
}

/** A server that floods its callers; `sentBytes` is what they have accepted so far. */
export interface FloodServer {
  readonly address: string
  readonly sentBytes: () => number
  /** Connections that are still open. */
  readonly openConnections: () => number
  readonly close: () => void
}

/** Bytes after which a flood stops, so that a reader without a limit does not take the memory of the machine. */
const maximumFloodBytes = 192 << 20

/** Starts a server on loopback. */
export async function startFlood ({ prefix, part }: Flood): Promise<FloodServer> {
  const sockets = new Set<Socket>()
  let sent = 0
  const server = createServer(socket => {
    sockets.add(socket)
    const flood = (bytes: Buffer): void => {
      while (!socket.destroyed && sent < maximumFloodBytes) {
        sent += bytes.length
        if (!socket.write(bytes)) return
      }
    }
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
    socket.on('drain', () => { if (part !== undefined) flood(part) })
    socket.once('data', () => {
      socket.write(prefix)
      if (part !== undefined) flood(part)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const close = (): void => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sentBytes: () => sent, openConnections: () => sockets.size, close }
}
