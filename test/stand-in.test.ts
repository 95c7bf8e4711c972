import { request } from 'node:http'
import type { Server } from 'node:http'
import { test } from 'tap'
import { digestBytes, digestValue } from '../src/utils/digest.js'
import type { EngineLine, StreamPage } from '../src/types/platform.js'
import { EngineStandIn, tokenAt } from '../stand-in/engine.js'
import { listenHttp } from '../stand-in/http.js'
import { InstancesStandIn } from '../stand-in/instances.js'
import { LogStandIn } from '../stand-in/log.js'
import type { RegisterLine } from '../stand-in/register.js'
import { ServiceStandIn } from '../stand-in/service.js'

interface Answer { readonly status: number, readonly text: string, readonly isComplete: boolean }

/** Sends a request; the status is 0 when no answer was received. */
function send (port: number, method: string, path: string, body = '', headers: Readonly<Record<string, string>> = {}): Promise<Answer> {
  return new Promise(resolve => {
    const call = request({ host: '127.0.0.1', port, method, path, headers, agent: false }, response => {
      let text = ''
      response.on('data', part => { text += String(part) })
      response.on('error', () => {})
      response.on('close', () => { resolve({ status: response.statusCode ?? 0, text, isComplete: response.complete }) })
    })
    call.on('error', () => { resolve({ status: 0, text: '', isComplete: false }) })
    call.end(body)
  })
}

function close (servers: readonly Server[]): void {
  for (const server of servers) {
    server.closeAllConnections()
    server.close()
  }
}

const append = JSON.stringify({ records: ['a', 'b'] })
const logCases: readonly { readonly name: string, readonly faults: Partial<LogStandIn['faults']>, readonly status: number, readonly retained: number, readonly readStatus: number }[] = [
  { name: 'gives offsets in order', faults: {}, status: 200, retained: 2, readStatus: 200 },
  { name: 'refuses during an outage', faults: { outage: true }, status: 503, retained: 0, readStatus: 503 },
  { name: 'loses the answer after the effect', faults: { loseAnswers: 1 }, status: 0, retained: 2, readStatus: 200 },
  { name: 'loses answers to reads', faults: { loseReads: 1 }, status: 200, retained: 0, readStatus: 0 },
  { name: 'lets records expire', faults: { keepMilliseconds: -1 }, status: 200, retained: 0, readStatus: 200 }
]

for (const { name, faults, status, retained, readStatus } of logCases) {
  test(`the log ${name}`, async t => {
    const log = new LogStandIn()
    Object.assign(log.faults, faults)
    const { server, port } = await log.listen('127.0.0.1:0')
    t.equal((await send(port, 'POST', '/streams/configuration/records', append)).status, status)
    const read = await send(port, 'GET', '/streams/configuration/records?from=0')
    t.equal(read.status, readStatus)
    if (readStatus === 200) t.equal((JSON.parse(read.text) as StreamPage).records.length, retained)
    close([server])
  })
}

test('the log refuses appends above its rate limit', async t => {
  const log = new LogStandIn()
  log.faults.appendsPerSecond = 0
  const { server, port } = await log.listen('127.0.0.1:0')
  t.equal((await send(port, 'POST', '/streams/a/records', append)).status, 429)
  close([server])
})

test('the instance list lags, and may be unavailable', async t => {
  const list = new InstancesStandIn(3_600_000)
  const { server, port } = await list.listen('127.0.0.1:0')
  list.set([{ instance: 'entry-0', role: 'entry', service: '', dataCentre: 'north', region: 'upper', state: 'live', address: '127.0.0.1:1', controlAddress: '127.0.0.1:2' }])
  t.equal((JSON.parse((await send(port, 'GET', '/instances')).text) as { version: number }).version, 0)
  list.faults.lagMilliseconds = 0
  t.equal((JSON.parse((await send(port, 'GET', '/instances')).text) as { version: number }).version, 1)
  list.faults.outage = true
  t.equal((await send(port, 'GET', '/instances')).status, 503)
  close([server])
})

/** Starts an engine, orders it to load weights, and returns it with the events that it records. */
async function loadedEngine (behaviour: Partial<EngineStandIn['behaviour']>): Promise<{ readonly engine: EngineStandIn, readonly lines: readonly RegisterLine[], readonly port: number, readonly control: number, readonly digest: string, readonly source: string, readonly servers: readonly Server[] }> {
  const bytes = Buffer.from('weights')
  const manifest = { model: 'm', adapter: null, version: '1', chunkBytes: 7, totalBytes: 7, chunks: [digestBytes(bytes)] }
  const source = await listenHttp('127.0.0.1:0', (_request, response, path) => {
    if (path[0] === 'weights') return manifest
    response.end(bytes)
    return undefined
  })
  const lines: RegisterLine[] = []
  const engine = new EngineStandIn('engine', line => { lines.push(line) })
  Object.assign(engine.behaviour, { tokenMilliseconds: 5, ...behaviour })
  const service = await engine.listen('127.0.0.1:0')
  const controlServer = await engine.listenControl('127.0.0.1:0')
  const digest = digestValue(manifest)
  const url = `http://127.0.0.1:${source.port}`
  await send(service.port, 'POST', '/orders', JSON.stringify({ id: 'load', kind: 'load', fence: 5, manifest: digest, source: url }))
  return { engine, lines, port: service.port, control: controlServer.port, digest, source: url, servers: [source.server, service.server, controlServer.server] }
}

function completion (id: string, prompt: string, maximumTokens: number, resumeFrom = 0): string {
  return JSON.stringify({ id, prompt, maximumTokens, priority: 0, resumeFrom })
}

const orderCases: readonly { readonly name: string, readonly behaviour: Partial<EngineStandIn['behaviour']>, readonly fence: number, readonly status: number, readonly loads: number }[] = [
  { name: 'takes an order with a newer fencing token', behaviour: {}, fence: 6, status: 200, loads: 2 },
  { name: 'refuses an order with an old fencing token', behaviour: {}, fence: 4, status: 409, loads: 1 },
  { name: 'that ignores fencing takes any order', behaviour: { checksFence: false }, fence: 4, status: 200, loads: 2 },
  { name: 'may lose the answer to an order after its effect', behaviour: { loseOrderShare: 1 }, fence: 6, status: 0, loads: 2 }
]

for (const { name, behaviour, fence, status, loads } of orderCases) {
  test(`an engine ${name}`, async t => {
    const { lines, port, digest, source, servers } = await loadedEngine(behaviour)
    const answer = await send(port, 'POST', '/orders', JSON.stringify({ id: 'again', kind: 'load', fence, manifest: digest, source }))
    t.equal(answer.status, status)
    t.equal(lines.filter(line => line.event === 'ordered').length, loads)
    close(servers)
  })
}

test('an engine streams the expected tokens, resumes and caches prefixes', async t => {
  const { engine, port, digest, servers } = await loadedEngine({ cacheLossShare: 0, cacheLagMilliseconds: 0 })
  const prompt = 'a hike of twenty kilometres'
  const lines = (await send(port, 'POST', '/completions', completion('one', prompt, 3))).text.trim().split('\n').map(line => JSON.parse(line) as EngineLine)
  t.same(lines.flatMap(line => line.type === 'token' ? [line.token] : []), [0, 1, 2].map(index => tokenAt(digest, prompt, index)))
  t.equal(lines.at(-1)?.type, 'end')
  const rest = (await send(port, 'POST', '/completions', completion('two', prompt, 3, 2))).text.trim().split('\n').map(line => JSON.parse(line) as EngineLine)
  t.same(rest.flatMap(line => line.type === 'token' ? [line.index] : []), [2])
  const { events } = JSON.parse((await send(port, 'GET', '/cache-events?from=0')).text) as { events: { prefix: string }[] }
  t.equal(events.length, 1)
  const state = await send(port, 'GET', `/kv/${events[0]?.prefix}`)
  t.equal(state.status, 200)
  t.match((await send(port, 'PUT', '/kv/carried', state.text)).text, '"taken":true')
  t.equal(engine.register.overloads, 0)
  close(servers)
})

const crashCases: readonly { readonly name: string, readonly behaviour: Partial<EngineStandIn['behaviour']>, readonly prompts: readonly string[], readonly overload: boolean }[] = [
  { name: 'more requests than its concurrency limit', behaviour: { coldBound: 1 }, prompts: ['first', 'second'], overload: true },
  { name: 'a prompt that crashes it', behaviour: { crashText: 'poison' }, prompts: ['some poison'], overload: false }
]

for (const { name, behaviour, prompts, overload } of crashCases) {
  test(`an engine crashes from ${name} and restarts without weights`, async t => {
    const { engine, lines, port, servers } = await loadedEngine(behaviour)
    const answers = await Promise.all(prompts.map((prompt, index) => send(port, 'POST', '/completions', completion(`request-${index}`, prompt, 50))))
    t.ok(answers.every(({ isComplete }) => !isComplete), 'every answer was cut off')
    t.same(lines.flatMap(line => line.event === 'crashed' ? [line.overload] : []), [overload])
    t.equal(engine.register.started.length, prompts.length)
    t.match((await send(port, 'GET', '/state')).text, '"weights":null')
    close(servers)
  })
}

test('unresponsive connections send nothing more, and new ones work', async t => {
  const { port, control, servers } = await loadedEngine({ tokenMilliseconds: 100 })
  let received = ''
  const call = request({ host: '127.0.0.1', port, method: 'POST', path: '/completions', agent: false })
  call.on('error', () => {})
  call.end(completion('silent', 'a long answer', 20))
  await new Promise<void>(resolve => {
    call.on('response', response => {
      response.on('data', part => {
        received += String(part)
        resolve()
      })
    })
  })
  await send(control, 'POST', '/silence')
  const before = received
  t.equal((await send(port, 'POST', '/completions', completion('new', 'another', 8))).isComplete, true)
  t.equal(received, before, 'nothing more was received')
  call.destroy()
  close(servers)
})

const serviceCases: readonly { readonly name: string, readonly behaviour: Partial<ServiceStandIn['behaviour']>, readonly status: number }[] = [
  { name: 'answers and records', behaviour: {}, status: 200 },
  { name: 'may lose the answer after the effect', behaviour: { loseShare: 1 }, status: 0 },
  { name: 'may crash after the effect', behaviour: { crashText: 'poison' }, status: 0 }
]

for (const { name, behaviour, status } of serviceCases) {
  test(`a plain service ${name}`, async t => {
    const lines: RegisterLine[] = []
    const service = new ServiceStandIn('service', line => { lines.push(line) })
    Object.assign(service.behaviour, behaviour)
    const { server, port } = await service.listen('127.0.0.1:0')
    t.equal((await send(port, 'POST', '/run/sign-off', 'poison', { 'idempotency-key': 'k', 'pollendyke-request-id': 'r' })).status, status)
    t.match(lines[0], { event: 'ran', id: 'r', key: 'k', operation: 'sign-off', body: digestBytes('poison') })
    close([server])
  })
}
