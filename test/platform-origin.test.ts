/** The client of the origin of weights. */
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'tap'
import { PlatformOrigin } from '../platform/engine.js'

test('origin: an agent keeps no connection open that another agent may need', async t => {
  const connectionHeaders: (string | undefined)[] = []
  const server = createServer((incoming, response: ServerResponse) => {
    connectionHeaders.push(incoming.headers.connection)
    response.end(incoming.url?.startsWith('/manifest') === true ? JSON.stringify({ version: 2, digests: ['a', 'b'] }) : 'chunk')
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const origin = new PlatformOrigin()
  t.same(await origin.digests(address, 'weights-a', 2), ['a', 'b'])
  t.equal((await origin.chunk(address, 'weights-a', 2, 1)).toString(), 'chunk')
  t.same(connectionHeaders, ['close', 'close'])
  server.close()
  server.closeAllConnections()
})
