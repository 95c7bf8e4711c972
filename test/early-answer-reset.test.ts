/**
 * Servers that answer completely before a long body is written, and then send more and reset the connection: the error of the
 * write must not end the process that called.
 */
import { execFile } from 'node:child_process'
import type { Socket } from 'node:net'
import { fileURLToPath } from 'node:url'
import { test } from 'tap'
import { RawServer } from './fakes/raw-fleet.js'

const program = fileURLToPath(new URL('./fakes/calling-process.js', import.meta.url))
const calls = 192
const resetMilliseconds = 5
const answer = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\n{}'

/** What follows the complete answer, before the reset. */
const rests: readonly { readonly name: string, readonly bytes: string }[] = [
  { name: 'a second answer', bytes: answer },
  { name: 'the beginning of a second answer', bytes: answer.slice(0, 20) },
  { name: 'a spoilt head', bytes: 'HTTP/1.1 200 OK\r\nX-Attempt\x01Id: id-1\r\n\r\n' },
  { name: 'one byte', bytes: 'x' },
  { name: 'nothing', bytes: '' }
]

const callers = ['call between processes', 'request of the daemon', 'chunk to an engine', 'record to the store', 'request to an upstream'] as const

for (const caller of callers) {
  for (const { name, bytes } of rests) {
    test(`early answer, then a reset: ${caller}, ${name}`, async t => {
      const server = new RawServer(socket => { answerEarly(socket, bytes) }, 'before the body')
      const address = await server.start()
      t.teardown(() => { server.stop() })
      t.same(await run(caller, address), { output: `${calls}\n`, failure: '' }, 'each call has ended, and the process has not')
    })
  }
}

function answerEarly (socket: Socket, rest: string): void {
  socket.write(answer, () => {
    setTimeout(() => {
      if (rest === '') socket.resetAndDestroy()
      else socket.write(rest, 'latin1', () => { socket.resetAndDestroy() })
    }, resetMilliseconds)
  })
}

function run (caller: string, address: string): Promise<{ readonly output: string, readonly failure: string }> {
  return new Promise(resolve => {
    execFile(process.execPath, [program, caller, address], (error, output, errors) => { resolve({ output, failure: error === null ? '' : /^.*Error: .*$/m.exec(errors)?.[0] ?? errors }) })
  })
}
