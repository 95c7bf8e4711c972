/** Upstreams that stop in the middle of an answer's head, or with its last bytes, through a real entry: no caller takes a part for the whole. */
import { test } from 'tap'
import { completeText, isWhole, StreamFleet, type ScriptedCall } from './fakes/stream-fleet.js'

const body = 'the whole body'
const requests = 6
const signed = (id: string): string => `HTTP/1.1 200 OK\r\nx-server-stamp: stamp\r\nx-attempt-id: ${id}\r\n`
const wholeAnswer = (id: string): string => `${signed(id)}content-length: ${body.length}\r\n\r\n${body}`

/** Parts of an answer, by where it stops. */
const stops: readonly { readonly name: string, readonly bytes: (id: string) => string }[] = [
  { name: 'inside the status line', bytes: () => 'HTTP/1.1 200 O' },
  { name: 'after the status line', bytes: () => 'HTTP/1.1 200 OK\r\n' },
  { name: 'inside the name of a header', bytes: id => `${signed(id)}content-le` },
  { name: 'after the signature', bytes: id => signed(id) },
  { name: 'inside the value of the length', bytes: id => `${signed(id)}content-length: 1` },
  { name: 'after the value of the length', bytes: id => `${signed(id)}content-length: 1\r\n` },
  { name: 'before the last byte of the head', bytes: id => `${signed(id)}content-length: ${body.length}\r\n\r` },
  { name: 'after the head', bytes: id => `${signed(id)}content-length: ${body.length}\r\n\r\n` },
  { name: 'with the last bytes but one of the body', bytes: id => wholeAnswer(id).slice(0, -1) },
  { name: 'inside the last chunk', bytes: id => `${signed(id)}transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n` }
]

for (const { name, bytes } of stops) {
  for (const end of ['close', 'reset'] as const) {
    for (const isKept of [false, true]) {
      test(`answer cut: ${name}, ${end}, ${isKept ? 'kept' : 'new'} connection`, async t => {
        const cutOrWhole = (call: ScriptedCall, number: number): void => {
          const isCut = number === 0 && call.id.startsWith('cut')
          if (isCut) call.sendRaw(bytes(call.id), end)
          else if (isKept) call.answer(200, body)
          else call.sendRaw(wholeAnswer(call.id), 'close')
        }
        const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2, kind: 'safe' }, cutOrWhole)
        await fleet.start()
        t.teardown(async () => { await fleet.stop() })
        for (let index = 0; index < requests; index += 1) {
          const before = await fleet.send(`whole-${index}`).result
          t.equal(before.text, body)
          const { status, text, isComplete } = await fleet.send(`cut-${index}`).result
          if (status === 200 && isComplete) t.equal(text, body, 'a complete answer has the whole body')
          else t.ok(status === 502 || status === 0, `${status}: a cut answer is not said to have not run`)
        }
      })
    }
  }
}

for (const { name, bytes } of stops) {
  test(`answer cut: of a resumed stream, ${name}`, async t => {
    const script = async (call: ScriptedCall, number: number): Promise<void> => {
      if (number === 1) call.sendRaw(bytes(call.id), 'close')
      else if (number > 1) await call.finish()
      else {
        await call.sendUntil(2)
        call.reset()
      }
    }
    const fleet = new StreamFleet({ upstreams: 3, maximumUpstreams: 3 }, script)
    await fleet.start()
    t.teardown(async () => { await fleet.stop() })
    for (const result of await fleet.sendAll(requests)) {
      if (result.isComplete) t.ok(isWhole(result), 'a complete stream has each event once')
      else t.ok(completeText.startsWith(result.text), 'a broken stream has a beginning of it')
    }
  })
}

const bodiless: readonly { readonly name: string, readonly method: string, readonly answer: (id: string) => string, readonly status: number, readonly contentLength: string | undefined }[] = [
  { name: 'to HEAD', method: 'HEAD', answer: id => `${signed(id)}content-length: 14\r\n\r\n`, status: 200, contentLength: '14' },
  { name: 'with status 204', method: 'GET', answer: id => `${signed(id).replace('200 OK', '204 No Content')}\r\n`, status: 204, contentLength: undefined },
  { name: 'with status 304', method: 'GET', answer: id => `${signed(id).replace('200 OK', '304 Not Modified')}content-length: 14\r\n\r\n`, status: 304, contentLength: '14' }
]

for (const { name, method, answer, status, contentLength } of bodiless) {
  test(`answer cut: an answer ${name}, and its head cut`, async t => {
    const script = (call: ScriptedCall): void => {
      const bytes = answer(call.id)
      call.sendRaw(call.id.startsWith('cut') ? bytes.slice(0, -1) : bytes, 'close')
    }
    const fleet = new StreamFleet({ upstreams: 2, maximumUpstreams: 2, kind: 'safe' }, script)
    await fleet.start()
    t.teardown(async () => { await fleet.stop() })
    t.match(await fleet.send('whole', method).result, { status, isComplete: true, text: '' })
    t.equal(fleet.contentLengths.get('whole'), contentLength)
    t.match(await fleet.send('cut', method).result, { status: 502 })
  })
}
