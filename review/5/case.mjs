/** An entry is killed while it sends an answer that came without a length: the caller must not take a part for the whole. */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { call } from '../stand-in/caller.mjs'
import { delay, exitStatus } from '../stand-in/deployment.mjs'
import { PlainDeployment } from '../stand-in/plain-deployment.mjs'

/** Size of an answer, bytes: more than the buffers of a loopback connection usually hold. */
const answerBytes = 8_000_000
const body = Buffer.alloc(answerBytes, 'badge records ')
const rounds = 3
/** Time from the head of the answer for which the caller reads nothing, as behind a narrow link; and when within it the entry is killed, milliseconds. */
const pauseMilliseconds = 800
const killMilliseconds = 500

/** Largest buffer of the kernel for what a connection sends, bytes. */
function largestSendBuffer () {
  return Number(readFileSync('/proc/sys/net/ipv4/tcp_wmem', 'utf8').trim().split(/\s+/).at(-1))
}

/** Answers as a server may: without a length, ended by the close of the connection. */
function answer ({ id, response, server }) {
  response.useChunkedEncodingByDefault = false
  response.removeHeader('transfer-encoding')
  response.writeHead(200, { 'x-attempt-id': id, 'x-server-stamp': `${server.id}.${id}`, connection: 'close' })
  response.end(body)
}

const service = new PlainDeployment(fileURLToPath(new URL('.', import.meta.url)), { entries: 2, servers: 2, timeoutMilliseconds: 6000, answer })
const { deployment } = service
if (largestSendBuffer() > answerBytes * 0.75) deployment.finish(exitStatus.notRun, 'the kernel of this machine holds a whole answer, see /proc/sys/net/ipv4/tcp_wmem')
await service.start()
const [entry] = deployment.entries
const results = []
for (let round = 0; round < rounds; round += 1) {
  const pending = call(`${entry.ip}:8005`, {
    path: '/safe/records',
    deadline: 6000,
    onHead: head => {
      head.pause()
      setTimeout(() => { head.pause() }, 0)
      setTimeout(() => { head.resume() }, pauseMilliseconds)
      if (deployment.hasTrouble) setTimeout(() => { entry.signal('SIGKILL') }, killMilliseconds)
    }
  })
  const { id, status, isComplete, text, headers, reason } = await pending
  results.push({ status, isComplete, text })
  deployment.record('caller has its answer', { id, status, isComplete, bytes: text.length, ofBytes: answerBytes, length: headers?.['content-length'], coding: headers?.['transfer-encoding'], reason })
  if (!await service.waitUntilReady()) deployment.finish(exitStatus.notRun, 'the entry did not come back')
  await delay(500)
}
const parts = results.filter(({ status, isComplete, text }) => status === 200 && isComplete && text.length < answerBytes)
const whole = results.filter(({ status, isComplete, text }) => status === 200 && isComplete && text === body.toString('latin1'))
deployment.record('summary', { answers: results.length, whole: whole.length, partsThatLookWhole: parts.length })
if (!deployment.hasTrouble && whole.length < rounds) deployment.finish(exitStatus.notRun, 'answers were not whole without the disruption')
deployment.finish(parts.length > 0 ? exitStatus.broken : exitStatus.held, `MIXED: ${parts.length} of ${rounds} answers were parts that looked whole, ${whole.length} were whole`)
