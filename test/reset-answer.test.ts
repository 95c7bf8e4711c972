/** Answers without a length whose connection is reset together with their last bytes, through a real entry: no caller takes the part for the whole. */
import { test } from 'tap'
import { RawFleet, routeKinds, signedHead, wholeText, type AnswerTime, type RawAnswer } from './fakes/raw-fleet.js'

const requests = 24
/** Text that is a complete stream as far as it goes. */
const partText = 'id: 1\ndata: part\n\n'
const uploadBytes = 900_000
const resetAfter = (milliseconds: number, text = partText): RawAnswer => (socket, id) => {
  socket.write(`${signedHead(id)}\r\n${text}`, () => {
    if (milliseconds === 0) socket.resetAndDestroy()
    else setTimeout(() => { socket.resetAndDestroy() }, milliseconds)
  })
}
const resetWithStatus = (statusLine: string): RawAnswer => (socket, id) => {
  socket.write(`${signedHead(id, statusLine)}\r\n${partText}`, () => { socket.resetAndDestroy() })
}

interface Case {
  readonly name: string
  readonly answer: RawAnswer
  readonly answerTime: AnswerTime
  readonly bodyBytes: number
}

const cases: readonly Case[] = [
  { name: 'an upload that is not read, reset at once', answer: resetAfter(0), answerTime: 'before the body', bodyBytes: uploadBytes },
  { name: 'an upload that is not read, a long part, reset at once', answer: resetAfter(0, partText.repeat(3000)), answerTime: 'before the body', bodyBytes: uploadBytes },
  { name: 'an upload that is not read, reset after 5 ms', answer: resetAfter(5), answerTime: 'before the body', bodyBytes: uploadBytes },
  { name: 'an upload that is not read, reset after 50 ms', answer: resetAfter(50), answerTime: 'before the body', bodyBytes: uploadBytes },
  { name: 'an upload that is not read, status 404', answer: resetWithStatus('HTTP/1.1 404 Not Found'), answerTime: 'before the body', bodyBytes: uploadBytes },
  { name: 'a request that is read, reset at once', answer: resetAfter(0), answerTime: 'after the body', bodyBytes: 1 },
  { name: 'a request that is read, reset after 5 ms', answer: resetAfter(5), answerTime: 'after the body', bodyBytes: 1 },
  { name: 'a request that is read, status 500', answer: resetWithStatus('HTTP/1.1 500 Failed'), answerTime: 'after the body', bodyBytes: 1 }
]

for (const { name, answer, answerTime, bodyBytes } of cases) {
  test(`reset answer: ${name}`, async t => {
    const fleet = new RawFleet(answer, answerTime)
    await fleet.start()
    t.teardown(async () => { await fleet.stop() })
    for (const kind of routeKinds) {
      const results = await fleet.sendAll(kind, requests, bodyBytes)
      const parts = results.filter(({ text, isComplete }) => isComplete && text.includes('part') && !text.includes('whole'))
      t.same(parts.map(({ status, text }) => ({ status, text: text.slice(0, 40) })), [], `${kind}: no part is a complete answer`)
      if (kind === 'safe') t.same(results.filter(({ status, text }) => status !== 200 || text !== wholeText), [], 'safe: all are served by the other upstreams')
      if (kind === 'unsafe') t.same(results.filter(({ status }) => status !== 200 && status !== 502), [], 'unsafe: a request that may have run fails with 502')
    }
    const unsafe = fleet.ids.filter(id => id.startsWith('unsafe'))
    t.equal(new Set(unsafe).size, unsafe.length, 'no request that may not run again runs twice')
    t.ok(fleet.faulty.ids.some(id => id !== 'start'), 'the faulty upstream was called')
  })
}

/** A connection that is closed properly ends an answer without a length. */
const properEnds: readonly Case[] = [
  { name: 'a request that is read', answer: (socket, id) => { socket.end(`${signedHead(id)}\r\n${partText}`) }, answerTime: 'after the body', bodyBytes: 1 },
  { name: 'an upload that is not read, closed for sending only', answer: (socket, id) => { socket.end(`${signedHead(id)}\r\n${partText}`) }, answerTime: 'before the body', bodyBytes: uploadBytes }
]

for (const { name, answer, answerTime, bodyBytes } of properEnds) {
  test(`reset answer: ${name}, and the connection is closed properly`, async t => {
    const fleet = new RawFleet(answer, answerTime)
    await fleet.start()
    t.teardown(async () => { await fleet.stop() })
    for (const kind of routeKinds) {
      const results = await fleet.sendAll(kind, requests, bodyBytes)
      t.same(results.filter(({ status, text, isComplete }) => status !== 200 || !isComplete || (text !== wholeText && text !== partText)), [], `${kind}: all are served`)
      t.ok(results.some(({ text }) => text === partText), `${kind}: the answers are passed on`)
    }
  })
}
