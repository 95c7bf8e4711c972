/** What claims and chunks cost an agent: control traffic, processor time and memory. */
import { claimKey } from '../../src/core/claims.js'
import { appendChange } from '../../src/commands/append-change.js'
import { readState } from '../../src/queries/read-state.js'
import { HttpLogClient, streams } from '../../src/transports/log-client.js'
import { headers } from '../../src/types/messages.js'
import { waitUntil } from '../../src/utils/clock.js'
import { EngineStandIn } from '../../stand-in/engine.js'
import { ServiceStandIn } from '../../stand-in/service.js'
import { generateWeights, WeightsStandIn } from '../../stand-in/weights.js'
import { Bench, type Measured } from './bench.js'
import { readUsage } from './process-usage.js'
import type { Subject } from './slopes.js'

const readyMilliseconds = 60_000
const pollMilliseconds = 20
const claimsPerAppend = 500
const chunkBytes = 1 << 20

/** An agent that runs non-idempotent requests, each with its claim in the log. */
const agentByClaims: Subject = {
  name: 'agent by claims',
  unit: 'claims a second',
  sizes: [10, 50, 200],
  measure: async size => await withPlainAgent(0, async (bench, agent) => {
    const appends = bench.log.appends
    const measured = await bench.measure(agent.id, async until => { await callRepeatedly(agent.listen, size, until) })
    process.stdout.write(`  (${bench.log.appends - appends} appends for claims at ${size} a second)\n`)
    return measured
  })
}

/** An agent that keeps the claims of others. */
const agentByKeptClaims: Subject = {
  name: 'agent by claims kept',
  unit: 'claims',
  sizes: [1000, 10_000, 50_000],
  measure: async size => await withPlainAgent(size, async (bench, agent) => await bench.measure(agent.id))
}

/** An agent that draws weights; its processor time is for the whole draw, not for each second. */
const agentByChunks: Subject = {
  name: 'agent by weights drawn (processor column: per cent of a second, for the whole draw)',
  unit: 'megabytes',
  sizes: [8, 32, 96],
  measure: drawWeights
}

/** Every subject of work. */
export const workSubjects: readonly Subject[] = [agentByClaims, agentByKeptClaims, agentByChunks]

async function withPlainAgent (kept: number, use: (bench: Bench, agent: { readonly id: number, readonly listen: string }) => Promise<Measured>): Promise<Measured> {
  const bench = new Bench()
  try {
    await bench.start()
    await appendClaims(bench, kept)
    const service = new ServiceStandIn()
    const { port } = await service.listen('127.0.0.1:0')
    const agent = await bench.daemon({ role: 'agent', instance: 'plain-measured', service: 'plain', upstream: `http://127.0.0.1:${port}` })
    bench.register([{ instance: 'plain-measured', role: 'upstream', service: 'plain', dataCentre: 'first', region: 'here', state: 'live', address: agent.listen, controlAddress: agent.control }])
    await until(async () => (await call(agent.listen, 'ready')) === 200)
    return await use(bench, agent)
  } finally {
    bench.end()
  }
}

async function appendClaims (bench: Bench, count: number): Promise<void> {
  const client = new HttpLogClient(bench.directLogUrl)
  for (let first = 0; first < count; first += claimsPerAppend) {
    const records = Array.from({ length: Math.min(claimsPerAppend, count - first) }, (_, index) => JSON.stringify({
      type: 'claim',
      id: `kept-${first + index}`,
      key: claimKey('organisation-0', 'plain', 'post', `kept ${first + index}`),
      instance: 'plain-gone',
      incarnation: 'gone',
      address: '127.0.0.1:1'
    }))
    await client.append(streams.claims('plain'), records, Date.now() + readyMilliseconds)
  }
}

async function callRepeatedly (address: string, perSecond: number, deadline: number): Promise<void> {
  const running: Array<Promise<unknown>> = []
  for (let count = 0; Date.now() < deadline; count += 1) {
    running.push(call(address, `key-${perSecond}-${count}`))
    await waitUntil(Date.now() + 1000 / perSecond)
  }
  await Promise.all(running)
}

async function call (address: string, key: string): Promise<number> {
  const sent = {
    [headers.requestId]: key,
    [headers.organisation]: 'organisation-0',
    [headers.deadline]: String(Date.now() + readyMilliseconds),
    [headers.idempotencyKey]: key
  }
  const answer = await fetch(`http://${address}/run/post`, { method: 'POST', headers: sent, body: '{}' })
  await answer.arrayBuffer()
  return answer.status
}

async function drawWeights (megabytes: number): Promise<Measured> {
  const bench = new Bench()
  try {
    await bench.start()
    const engine = new EngineStandIn()
    const engineServer = await engine.listen('127.0.0.1:0')
    const origin = new WeightsStandIn()
    const weights = generateWeights('bench', null, '1', megabytes * 1_000_000, chunkBytes)
    origin.add(weights)
    const originServer = await origin.listen('127.0.0.1:0')
    const originUrl = `http://127.0.0.1:${originServer.port}`
    const agent = await bench.daemon({ role: 'agent', instance: 'model-measured', service: 'model', upstream: `http://127.0.0.1:${engineServer.port}`, origin: originUrl, store: originUrl })
    bench.register([{ instance: 'model-measured', role: 'upstream', service: 'model', dataCentre: 'first', region: 'here', state: 'live', address: agent.listen, controlAddress: agent.control }])
    await waitUntil(Date.now() + 2000)
    const before = readUsage(agent.id)
    await wantWeights(bench, weights.named.digest)
    await until(async () => engine.register.orders.length > 0)
    const after = readUsage(agent.id)
    return { controlBytesPerSecond: 0, processorShare: after.processorSeconds - before.processorSeconds, residentBytes: after.residentBytes }
  } finally {
    bench.end()
  }
}

async function wantWeights (bench: Bench, manifest: string): Promise<void> {
  const client = new HttpLogClient(bench.directLogUrl)
  const intent = { id: 'first', service: 'model', model: 'bench', adapter: null, version: '1', manifest, organisations: ['organisation-0'], dataCentres: ['first'], finishBy: Date.now() + readyMilliseconds }
  await appendChange(client, await readState(client), { kind: 'intent', intent }, 'bench', Date.now() + readyMilliseconds)
}

async function until (condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + readyMilliseconds
  while (Date.now() < deadline) {
    if (await condition().catch(() => false)) return
    await waitUntil(Date.now() + pollMilliseconds)
  }
  throw new Error('the condition did not come true')
}
