/** Requests over persistent connections that their server closes when they are idle. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { test } from 'tap'
import { readAll, sendRequest } from '../src/transports/http-client.js'

const reuses = [
  { name: 'reused soon', idleMilliseconds: 0, connections: 1 },
  { name: 'idle for so long that its server may be closing it', idleMilliseconds: 2500, connections: 2 }
] as const

for (const { name, idleMilliseconds, connections } of reuses) {
  test(`two requests over a connection that is ${name} use ${connections}`, async t => {
    let opened = 0
    const server = createServer((_request, response) => { response.end('ok') })
    server.on('connection', () => { opened += 1 })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    t.teardown(() => {
      server.closeAllConnections()
      server.close()
    })
    const { port } = server.address() as AddressInfo
    const send = async (): Promise<void> => {
      const deadline = Date.now() + 30_000
      await readAll(await sendRequest({ url: `http://127.0.0.1:${port}/`, method: 'GET', deadline }), deadline, 1000)
      await wait(10)
    }
    await send()
    await wait(idleMilliseconds)
    await send()
    t.equal(opened, connections)
  })
}

test('a request is not lost on an idle connection that the server has closed while this process was delayed', async t => {
  const server = createServer((_request, response) => { response.end('ok') })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  const { port } = server.address() as AddressInfo
  const send = async (): Promise<string> => {
    const deadline = Date.now() + 30_000
    return (await readAll(await sendRequest({ url: `http://127.0.0.1:${port}/`, method: 'GET', deadline }), deadline, 1000)).toString('utf8')
  }
  t.equal(await send(), 'ok')
  await wait(10)
  server.closeIdleConnections()
  const until = Date.now() + 2100
  while (Date.now() < until);
  t.equal(await send(), 'ok')
})
