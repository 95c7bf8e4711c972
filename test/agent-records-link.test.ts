/** Agents behind a narrow link learn a large configuration: the link carries it a few times, not once for each agent. */
import { test, type Test } from 'tap'
import { PlatformRecords } from '../platform/records.js'
import { freshAddress } from '../script/launch.js'
import { startWeightsAgent } from '../src/roles/weights/weights-agent.js'
import type { RunningNode } from '../src/nodes/running-node.js'
import type { WeightsSettings } from '../src/types/node-settings.js'
import { EnginePort, OriginPort, type OrderResult } from '../src/types/ports.js'
import type { EngineReport } from '../src/types/fleet.js'
import { startEntries, versionInForce } from './fakes/entry-group.js'
import { SharedLog, linkBytesPerSecond } from './fakes/shared-log.js'
import { eventually } from './fakes/test-cluster.js'

const agentCount = 9
const routes = 2000
/** How often the link may carry one configuration, as for entries (late-configuration). */
const maximumCopies = 2
const otherBytes = 10_000
/** Time within which a call of the store must be complete (platform/store.ts), seconds. */
const callSeconds = 1.2

class IdleEngine extends EnginePort {
  async report (): Promise<EngineReport> { return { startedAt: 1, orders: 0, isSwapping: false, running: 0, waiting: 0, weights: undefined } }
  async staged (): Promise<readonly number[]> { return [] }
  async stagedChunk (): Promise<Buffer | undefined> { return undefined }
  async stage (): Promise<void> {}
  async load (): Promise<OrderResult> { return 'refused' }
}

class NoOrigin extends OriginPort {
  async digests (): Promise<readonly string[]> { throw new Error('no origin') }
  async chunk (): Promise<Buffer> { throw new Error('no origin') }
}

interface Case {
  readonly name: string
  /** Whether the large configuration is written before the agents start, as after a loss of power. */
  readonly isWrittenBefore: boolean
}

const cases: readonly Case[] = [
  { name: 'a new version', isWrittenBefore: false },
  { name: 'all start at once', isWrittenBefore: true }
]

for (const { name, isWrittenBefore } of cases) {
  test(`agents' records: a large configuration crosses the link of their data centre a few times: ${name}`, async t => {
    const log = new SharedLog('home')
    const large = encodeConfiguration(2, routes)
    log.append('operators', 'config', encodeConfiguration(1, 1))
    if (isWrittenBefore) log.append('operators', 'config', large)
    const entries = await startEntries(log, ['home', 'east'], 2)
    const agents = await Promise.all(Array.from({ length: agentCount }, (_, index) => startAgent(log, `agent-${index}`)))
    await eventually(async () => (await Promise.all(agents.map(readsOf))).every(reads => reads > 0))
    const before = isWrittenBefore ? 0 : log.bytesReadIn('east')
    if (!isWrittenBefore) log.append('operators', 'config', large)
    await eventually(async () => (await Promise.all(entries.map(versionInForce))).every(version => version === 2))
    await eventually(async () => (await Promise.all(agents.map(bytesOf))).every(bytes => bytes > 0.01 * large.length))
    const bytes = log.bytesReadIn('east') - before
    t.ok(bytes <= maximumCopies * large.length + otherBytes, `the link carried ${(bytes / large.length).toFixed(1)} copies of ${large.length} bytes`)
    t.ok(bytes / linkBytesPerSecond < callSeconds, `the link was busy for ${(bytes / linkBytesPerSecond).toFixed(2)} s, a call is abandoned after ${callSeconds} s`)
    await stopAll(t, [...entries.map(({ node }) => node), ...agents.map(({ node }) => node)])
  })
}

interface StartedAgent { readonly internal: string, readonly node: RunningNode }

async function startAgent (log: SharedLog, instance: string): Promise<StartedAgent> {
  const ip = freshAddress().split(':')[0] ?? ''
  const settings: WeightsSettings = {
    role: 'weights',
    instance,
    ip,
    dataCentre: 'east',
    region: 'east',
    regionByDataCentre: new Map([['home', 'home'], ['east', 'east']]),
    internalPort: 7700,
    seeds: [],
    store: `${ip}:1`,
    configurationApplyMilliseconds: 3000,
    drainMilliseconds: 3000,
    rolloutMilliseconds: 10_000,
    stopGraceMilliseconds: 1000,
    retryRatio: 0.2,
    retryWindowMilliseconds: 10_000,
    retrySlack: 100,
    coldFactor: 1.5,
    coldSlack: 5,
    stableMilliseconds: 4000,
    engine: `${ip}:8360`,
    service: 'model',
    linkBytesPerSecond: 0
  }
  const node = await startWeightsAgent(settings, { records: log.readerIn('east', instance), codec: new PlatformRecords(), engine: new IdleEngine(), origin: new NoOrigin() })
  return { internal: `${ip}:7700`, node }
}

async function metricText ({ internal }: StartedAgent, name: string): Promise<number> {
  const lines = (await (await fetch(`http://${internal}/metrics`)).text()).split('\n')
  return lines.filter(line => line.startsWith(`${name}{`)).reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}

function readsOf (agent: StartedAgent): Promise<number> {
  return metricText(agent, 'pollendyke_records_reads_total')
}

function bytesOf (agent: StartedAgent): Promise<number> {
  return metricText(agent, 'pollendyke_records_bytes_total')
}

async function stopAll (t: Test, nodes: readonly RunningNode[]): Promise<void> {
  await Promise.all(nodes.map(node => node.stop()))
  t.pass('stopped')
}

function encodeConfiguration (version: number, count: number): Buffer {
  return Buffer.from(JSON.stringify({
    version,
    routes: Array.from({ length: count }, (_, index) => ({
      name: `route-${index}`,
      host: `host-${index % 40}.example`,
      'path-prefix': `/${index.toString(36)}/${(index * 7919 % 46_656).toString(36)}/`,
      service: 'ledger',
      'route-type': 'safe',
      'timeout-ms': 1500,
      'latency-goal-ms': 144,
      'max-attempts': 2,
      priority: 1
    })),
    services: [{ name: 'ledger', 'max-conns': 520 }],
    tenants: [],
    limits: {}
  }))
}
