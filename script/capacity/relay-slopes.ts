/** What relayed requests and tokens cost: processor time at the entry and at the agent, beside a direct call to the engine. */
import { request } from 'node:http'
import { appendChange } from '../../src/commands/append-change.js'
import { readState } from '../../src/queries/read-state.js'
import { HttpLogClient } from '../../src/transports/log-client.js'
import { headers } from '../../src/types/messages.js'
import { waitUntil } from '../../src/utils/clock.js'
import { EngineStandIn } from '../../stand-in/engine.js'
import { generateWeights, WeightsStandIn } from '../../stand-in/weights.js'
import { freshAddress } from '../launch.js'
import { Bench } from './bench.js'
import { readUsage } from './process-usage.js'

const readyMilliseconds = 30_000
const windowMilliseconds = 5000
const concurrency = 60
const bodyType = { 'content-type': 'application/json' }

/** Cost of one load shape. */
export interface RelayCost {
  readonly tokensPerRequest: number
  readonly requests: number
  readonly tokens: number
  readonly entrySeconds: number
  readonly agentSeconds: number
  /** Median milliseconds to the first token, through the system. */
  readonly firstToken: number
  /** Median milliseconds to the first token, straight from the engine. */
  readonly directFirstToken: number
}

/** Runs each shape for one window and returns its cost. */
export async function measureRelay (shapes: readonly number[]): Promise<readonly RelayCost[]> {
  const bench = new Bench()
  try {
    await bench.start()
    const { engine, engineAddress, entry, agent } = await startPath(bench)
    engine.behaviour.tokenMilliseconds = 1
    const costs: RelayCost[] = []
    for (const tokensPerRequest of shapes) costs.push(await measureShape(tokensPerRequest, engineAddress, entry, agent))
    return costs
  } finally {
    bench.end()
  }
}

interface Daemon { readonly id: number, readonly listen: string, readonly control: string }

async function startPath (bench: Bench): Promise<{ readonly engine: EngineStandIn, readonly engineAddress: string, readonly entry: Daemon, readonly agent: Daemon }> {
  const engine = new EngineStandIn()
  Object.assign(engine.behaviour, { coldBound: 1000, fullBound: 1000 })
  const engineServer = await engine.listen(freshAddress())
  const bound = engineServer.server.address()
  const engineAddress = typeof bound === 'object' && bound !== null ? `${bound.address}:${bound.port}` : ''
  const origin = new WeightsStandIn()
  const weights = generateWeights('bench', null, '1', 1 << 16, 1 << 14)
  origin.add(weights)
  const originServer = await origin.listen('127.0.0.1:0')
  const originUrl = `http://127.0.0.1:${originServer.port}`
  const agent = await bench.daemon({ role: 'agent', instance: 'model-measured', service: 'model', upstream: `http://${engineAddress}`, origin: originUrl, store: originUrl })
  const entry = await bench.daemon({ role: 'entry', instance: 'entry-measured' })
  bench.register([
    { instance: 'entry-measured', role: 'entry', service: '', dataCentre: 'first', region: 'here', state: 'live', address: entry.listen, controlAddress: entry.control },
    { instance: 'model-measured', role: 'upstream', service: 'model', dataCentre: 'first', region: 'here', state: 'live', address: agent.listen, controlAddress: agent.control }
  ])
  const client = new HttpLogClient(bench.directLogUrl)
  const organisations = Array.from({ length: 10 }, (_, index) => `organisation-${index}`)
  const intent = { id: 'first', service: 'model', model: 'bench', adapter: null, version: '1', manifest: weights.named.digest, organisations, dataCentres: ['first'], finishBy: Date.now() + readyMilliseconds }
  await appendChange(client, await readState(client), { kind: 'intent', intent }, 'bench', Date.now() + readyMilliseconds)
  await waitReady(entry.listen)
  return { engine, engineAddress, entry, agent }
}

async function waitReady (entry: string): Promise<void> {
  const deadline = Date.now() + readyMilliseconds
  while (Date.now() < deadline) {
    const answer = await ask(entry, '/services/model/completions', callerBody(1)).catch(() => undefined)
    if (answer?.status === 200) return
    await waitUntil(Date.now() + 100)
  }
  throw new Error('the path did not become ready')
}

async function measureShape (tokensPerRequest: number, engine: string, entry: Daemon, agent: Daemon): Promise<RelayCost> {
  const direct = await load(engine, '/completions', () => engineBody(tokensPerRequest), Date.now() + 1000)
  const entryBefore = readUsage(entry.id)
  const agentBefore = readUsage(agent.id)
  const through = await load(entry.listen, '/services/model/completions', () => callerBody(tokensPerRequest), Date.now() + windowMilliseconds)
  const entrySeconds = readUsage(entry.id).processorSeconds - entryBefore.processorSeconds
  const agentSeconds = readUsage(agent.id).processorSeconds - agentBefore.processorSeconds
  return { tokensPerRequest, requests: through.length, tokens: through.length * tokensPerRequest, entrySeconds, agentSeconds, firstToken: median(through), directFirstToken: median(direct) }
}

/** Runs requests one after another on each of several lanes; returns the milliseconds to each first byte. */
async function load (address: string, path: string, body: () => string, until: number): Promise<readonly number[]> {
  const firsts: number[] = []
  const lane = async (): Promise<void> => {
    while (Date.now() < until) {
      const { status, first } = await ask(address, path, body())
      if (status === 200) firsts.push(first)
    }
  }
  await Promise.all(Array.from({ length: concurrency }, lane))
  return firsts
}

function ask (address: string, path: string, body: string): Promise<{ readonly status: number, readonly first: number }> {
  const started = performance.now()
  return new Promise((resolve, reject) => {
    const call = request(`http://${address}${path}`, { method: 'POST', headers: { ...bodyType, [headers.organisation]: 'organisation-0', 'content-length': Buffer.byteLength(body) } }, response => {
      let first = 0
      response.on('data', () => { first = first === 0 ? performance.now() - started : first })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, first }) })
      response.on('error', reject)
    })
    call.on('error', reject)
    call.end(body)
  })
}

let asked = 0

function engineBody (tokens: number): string {
  asked += 1
  return JSON.stringify({ id: `direct-${asked}`, prompt: `direct ${asked}`, maximumTokens: tokens, priority: 0, resumeFrom: 0 })
}

function callerBody (tokens: number): string {
  asked += 1
  return JSON.stringify({ prompt: `through ${asked}`, maximumTokens: tokens })
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
}
