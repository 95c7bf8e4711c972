/** Listening on an address of this machine. */
import type { Server } from 'node:http'

/** New connections that may wait for the process. */
const maximumPendingConnections = 1024

/** Resolves once a server listens on `address`, IP and port. */
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
