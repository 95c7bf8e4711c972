/** Binding of HTTP servers to an address. */
import type { Server } from 'node:http'

/** Length of the queue of connections that the process has not yet accepted (`listen` backlog). */
const maximumPendingConnections = 1024

/** Resolves once the server listens on `address`, `ip:port`; rejects if the address cannot be bound. */
export function listenOn (server: Server, address: string): Promise<void> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, maximumPendingConnections, () => {
      server.off('error', reject)
      resolve()
    })
  })
}
