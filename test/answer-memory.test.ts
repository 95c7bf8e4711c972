/** Memory of answers: large ones share it, whether they arrive or wait for callers that do not read. */
import { request } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { test } from 'tap'
import { AnswerMemory, type AnswerRoom } from '../src/core/answer-memory.js'
import { Fleet } from './fakes/plain-fleet.js'

const mebibyte = 1 << 20
/** Memory of the smallest instance less what an entry takes without any request, bytes: no more may be held, or the process ends. */
const allowedBytes = (250 - 80) * mebibyte

test('memory of answers: small ones need no room, large ones arrive one at a time where there is none', async t => {
  const memory = new AnswerMemory(mebibyte)
  const [first, second, third, small] = [memory.open(), memory.open(), memory.open(), memory.open()]
  const continued: string[] = []
  const receive = (name: string, room: AnswerRoom, bytes: number): boolean => room.receive(bytes, 0, () => { continued.push(name) })
  t.equal(receive('first', first, mebibyte), true)
  t.equal(receive('second', second, mebibyte / 2), false, 'there is no room for a second large answer')
  t.equal(receive('third', third, mebibyte), false)
  t.equal(receive('first', first, 4 * mebibyte), true, 'the first one goes on, or none would ever end')
  t.equal(receive('small', small, 65_536), true, 'a small one is received all the same')
  first.close()
  t.same(continued, ['second'], 'the next one goes on, and the others wait for it')
  third.close()
  second.close()
  t.equal(memory.heldBytes, 0)
  t.same(continued, ['second'], 'one that was closed does not go on')
})

test('memory of answers: callers that do not read lose their answers once room is needed', async t => {
  const memory = new AnswerMemory(mebibyte)
  const evicted: string[] = []
  const wait = (name: string, bytes: number, now: number): AnswerRoom => {
    const room = memory.open()
    room.wait(bytes, now, () => { evicted.push(name) })
    return room
  }
  const slow = wait('slow', mebibyte / 2, 0)
  t.same(evicted, [], 'there is room')
  const arriving = memory.open()
  t.equal(arriving.receive(mebibyte, 500, () => {}), true, 'the only one that arrives')
  t.same(evicted, [], 'it may wait for a second')
  arriving.receive(mebibyte, 1500, () => {})
  t.same(evicted, ['slow'])
  arriving.close()
  const names = ['a', 'b', 'c']
  for (const name of names) wait(name, mebibyte / 2, 2000)
  t.same(evicted, ['slow', 'a'], 'no more than all of the room waits, whatever the time')
  slow.close()
  t.ok(memory.heldBytes <= mebibyte)
  t.equal(memory.open().hold(mebibyte), false, 'a stream takes none that is not there')
})

test('endless bytes: large answers to callers that do not read stay within a limit, and others are served', async t => {
  const large = Buffer.alloc(7_000_000)
  const fleet = new Fleet((incoming, response) => {
    const body = incoming.url === '/r/large' ? large : Buffer.from('done')
    response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': String(incoming.headers['x-attempt-id']), 'content-length': body.length }).end(body)
  })
  await fleet.start()
  const entry = await fleet.startEntry()
  await delay(1500)
  const [host = '', port = ''] = entry.callers.split(':')
  const sockets = Array.from({ length: 40 }, () => connect(Number(port), host).pause().on('error', () => {}))
  const before = process.memoryUsage().arrayBuffers
  let most = 0
  const watch = setInterval(() => { most = Math.max(most, process.memoryUsage().arrayBuffers - before) }, 5)
  for (const [index, socket] of sockets.entries()) {
    socket.write(`GET /r/large HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: unread-${index}\r\nX-Deadline-Ms: 900\r\n\r\n`)
    await delay(50)
  }
  const statuses = await Promise.all([1, 2, 3].map(number => statusOf(entry.callers, '/r/small', `small-${number}`)))
  t.same(statuses, [200, 200, 200])
  t.equal(await statusOf(entry.callers, '/r/large', 'read'), 200, 'a caller that reads gets a large answer')
  clearInterval(watch)
  t.ok(most <= allowedBytes, `${most} bytes are held, ${allowedBytes} are allowed`)
  for (const socket of sockets) socket.destroy()
  await fleet.stop()
})

/** Status of a complete answer of an entry; 0 for none. */
function statusOf (address: string, path: string, id: string): Promise<number> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    const outgoing = request({ host, port, path, agent: false, headers: { host: 'a.example', 'x-attempt-id': id, 'x-deadline-ms': '900' } }, answer => {
      answer.resume()
      answer.on('error', () => { resolve(0) })
      answer.on('end', () => { resolve(answer.complete ? answer.statusCode ?? 0 : 0) })
    })
    outgoing.on('error', () => { resolve(0) })
    outgoing.end()
  })
}
