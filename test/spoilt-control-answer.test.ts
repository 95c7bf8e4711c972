/** Answers to calls over gRPC that are spoilt or cut: the call fails, and the process goes on. */
import { createServer, type Http2Server, type ServerHttp2Stream } from 'node:http2'
import { createServer as createSocketServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { test, type Test } from 'tap'
import { ControlClient } from '../src/transports/control.js'
import { sleepUntil, monotonicNow } from '../src/utils/clock.js'

const calls = 8
const deadlineMilliseconds = 800
/** The settings of an HTTP/2 connection, which a server sends first. */
const settings = '\0\0\0\x04\0\0\0\0\0'
const grpcHead = { ':status': 200, 'content-type': 'application/grpc' } as const
/** A message of `length` bytes with the given bytes. */
const message = (length: number, bytes: readonly number[], flag = 0): Buffer => Buffer.from([flag, 0, 0, 0, length, ...bytes])

/** What follows the connection's beginning, as bytes. */
const sockets: readonly { readonly name: string, readonly answer: (socket: Socket) => void }[] = [
  { name: 'an answer of HTTP/1', answer: socket => { socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}') } },
  { name: 'status 000 of HTTP/1', answer: socket => { socket.end('HTTP/1.1 000 X\r\n\r\n') } },
  { name: 'bytes that are none', answer: socket => { socket.write('\xff\x00\x01'.repeat(100), 'latin1') } },
  { name: 'the settings, then a frame of a wrong length', answer: socket => { socket.write(`${settings}\xff\xff\xff\x01\x04\0\0\0\x01`, 'latin1') } },
  { name: 'the settings, then a spoilt head', answer: socket => { socket.write(`${settings}\0\0\x03\x01\x04\0\0\0\x01\xff\xff\xff`, 'latin1') } },
  { name: 'the settings, and a reset at once', answer: socket => { socket.write(settings, 'latin1', () => { socket.resetAndDestroy() }) } },
  { name: 'a reset', answer: socket => { socket.resetAndDestroy() } }
]

/** What a call is answered with; `hasEvent` if the answer begins with a whole event. */
const streams: readonly { readonly name: string, readonly answer: (stream: ServerHttp2Stream) => void, readonly hasEvent?: true }[] = [
  { name: 'status 000', answer: stream => { stream.respond({ ':status': 0, 'content-type': 'application/grpc' } as never) } },
  { name: 'status 500', answer: stream => { stream.respond({ ':status': 500 }, { endStream: true }) } },
  { name: 'text', answer: stream => { stream.respond({ ':status': 200, 'content-type': 'text/plain' }); stream.end('failed') } },
  { name: 'a message that is cut', answer: stream => { stream.respond(grpcHead); stream.end(message(200, [10, 3])) } },
  { name: 'a message that is none', answer: stream => { stream.respond(grpcHead); stream.write(message(6, [255, 255, 255, 255, 255, 255])) } },
  { name: 'a message that claims compression', answer: stream => { stream.respond(grpcHead); stream.write(message(3, [1, 2, 3], 1)) } },
  { name: 'a message and no end', answer: stream => { stream.respond(grpcHead); stream.write(message(2, [10, 0])); stream.close(2) }, hasEvent: true },
  { name: 'no message', answer: stream => { stream.respond(grpcHead, { endStream: true }) } }
]

for (const { name, answer } of sockets) {
  test(`spoilt control answer: ${name}`, async t => {
    const open = new Set<Socket>()
    const server = createSocketServer(socket => {
      open.add(socket)
      socket.on('error', () => {})
      socket.once('data', () => { answer(socket) })
    })
    await callAll(await listen(server), t)
    server.close()
    for (const socket of open) socket.destroy()
  })
}

for (const { name, answer, hasEvent = false } of streams) {
  test(`spoilt control answer: a stream with ${name}`, async t => {
    const server: Http2Server = createServer()
    server.on('sessionError', () => {})
    server.on('stream', stream => {
      stream.on('error', () => {})
      try {
        answer(stream)
      } catch {
        stream.close(2)
      }
    })
    await callAll(await listen(server), t, hasEvent)
    server.close()
  })
}

async function listen (server: Server | Http2Server): Promise<string> {
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Makes calls of each kind. All fail; one for events may have received one that is whole, with `hasEvent`. */
async function callAll (address: string, t: Test, hasEvent = false): Promise<void> {
  for (let call = 0; call < calls; call += 1) {
    const client = new ControlClient(address, 'own')
    const deadline = Date.now() + deadlineMilliseconds
    const received: unknown[] = []
    const follow = client.follow({ instance: 'i', next: 0, beat: 1 }, event => { received.push(event) }, () => {})
    const endWatch = client.watch({ instance: 'i' }, status => { received.push(status) }, () => {})
    await Promise.all([
      t.rejects(client.describe(deadline)),
      t.rejects(client.outcome({ requestId: 'r', key: '', incarnation: '' }, deadline))
    ])
    if (!hasEvent) t.same(received, [])
    follow.cancel()
    endWatch()
    client.close()
  }
  await sleepUntil(monotonicNow() + 100)
}
