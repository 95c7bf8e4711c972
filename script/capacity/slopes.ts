/** The slopes that docs/CAPACITY.md is worked out from: one subject each, at three or more sizes. */
import { generateConfiguration } from '../../src/core/configuration/generate.js'
import { startAgent } from '../../src/roles/agent/agent.js'
import type { RunningNode } from '../../src/nodes/running-node.js'
import { ControlClient } from '../../src/transports/control.js'
import type { ListedInstance } from '../../src/types/platform.js'
import { daemonSettingsSchema } from '../../src/types/settings.js'
import { appendChange } from '../../src/commands/append-change.js'
import { readState } from '../../src/queries/read-state.js'
import { HttpLogClient } from '../../src/transports/log-client.js'
import { waitUntil } from '../../src/utils/clock.js'
import { ServiceStandIn } from '../../stand-in/service.js'
import { freshAddress } from '../launch.js'
import { Bench, benchAnswers, type Measured } from './bench.js'

/** A subject: what is varied, and one measurement at a size. */
export interface Subject {
  readonly name: string
  /** What `size` counts. */
  readonly unit: string
  readonly sizes: readonly number[]
  measure (size: number): Promise<Measured>
}

const changeMilliseconds = 5000

/** Runs `use` with a bench that is ended afterwards. */
async function withBench (use: (bench: Bench) => Promise<Measured>, organisations = 10): Promise<Measured> {
  const bench = new Bench()
  try {
    await bench.start(generateConfiguration(benchAnswers(organisations)))
    return await use(bench)
  } finally {
    bench.end()
  }
}

async function startListedEntry (bench: Bench): Promise<number> {
  const entry = await bench.daemon({ role: 'entry', instance: 'entry-measured' })
  const counted = await bench.count(entry.control)
  bench.register([{ instance: 'entry-measured', role: 'entry', service: '', dataCentre: 'first', region: 'here', state: 'live', address: entry.listen, controlAddress: counted.address }])
  return entry.id
}

async function startInnerAgents (bench: Bench, count: number): Promise<readonly RunningNode[]> {
  const service = new ServiceStandIn()
  const { port } = await service.listen('127.0.0.1:0')
  const listed: ListedInstance[] = []
  const nodes: RunningNode[] = []
  for (let index = 0; index < count; index += 1) {
    const [listen, control] = [freshAddress(), freshAddress()]
    const instance = `plain-${index}`
    const settings = daemonSettingsSchema.parse({ role: 'agent', instance, dataCentre: 'first', region: 'here', listen, control, log: bench.directLogUrl, instances: bench.directListUrl, service: 'plain', upstream: `http://127.0.0.1:${port}`, logLevel: 'error' })
    if (settings.role !== 'agent') throw new Error('the settings are not an agent\'s')
    nodes.push(await startAgent(settings))
    const counted = await bench.count(control)
    listed.push({ instance, role: 'upstream', service: 'plain', dataCentre: 'first', region: 'here', state: 'live', address: listen, controlAddress: counted.address })
  }
  bench.register(listed)
  return nodes
}

async function stopAll (nodes: readonly RunningNode[]): Promise<void> {
  await Promise.all(nodes.map(async node => { await node.stop() }))
}

/** An entry that watches agents, idle. */
const entryByUpstreams: Subject = {
  name: 'entry by upstreams watched',
  unit: 'upstreams',
  sizes: [5, 20, 80],
  measure: async size => await withBench(async bench => {
    const id = await startListedEntry(bench)
    const agents = await startInnerAgents(bench, size)
    const measured = await bench.measure(id)
    await stopAll(agents)
    return measured
  })
}

/** An entry while operators change the configuration. */
const entryByChanges: Subject = {
  name: 'entry by configuration changes',
  unit: 'changes a second',
  sizes: [1, 5, 20],
  measure: async size => await withBench(async bench => {
    const id = await startListedEntry(bench)
    return await bench.measure(id, async until => { await changeRepeatedly(bench, size, until) })
  })
}

async function changeRepeatedly (bench: Bench, perSecond: number, until: number): Promise<void> {
  const client = new HttpLogClient(bench.directLogUrl)
  for (let count = 0; Date.now() < until; count += 1) {
    const next = Date.now() + 1000 / perSecond
    const state = count % 2 === 0 ? 'out' : 'in'
    await appendChange(client, await readState(client), { kind: 'data-centre', dataCentre: 'first', state }, 'bench', Date.now() + changeMilliseconds)
    await waitUntil(next)
  }
}

/** An entry with a configuration of many organisations, at one change a second. */
const entryByOrganisations: Subject = {
  name: 'entry by organisations, at 5 changes a second',
  unit: 'organisations',
  sizes: [10, 100, 1000],
  measure: async size => await withBench(async bench => {
    const id = await startListedEntry(bench)
    return await bench.measure(id, async until => { await changeRepeatedly(bench, 5, until) })
  }, size)
}

/** An entry beside a long instance list. */
const entryByListed: Subject = {
  name: 'entry by lines of the instance list',
  unit: 'lines',
  sizes: [10, 100, 1000],
  measure: async size => await withBench(async bench => {
    const id = await startListedEntry(bench)
    bench.register(Array.from({ length: size }, (_, index) => ({ instance: `far-${index}`, role: 'entry' as const, service: '', dataCentre: 'elsewhere', region: 'there', state: 'leaving' as const, address: '127.0.0.1:1', controlAddress: '127.0.0.1:1' })))
    return await bench.measure(id)
  })
}

/** An agent that entries watch, idle. */
const agentByWatchers: Subject = {
  name: 'agent by entries that watch it',
  unit: 'entries',
  sizes: [3, 9, 30, 90],
  measure: async size => await withBench(async bench => {
    const id = await startMeasuredAgent(bench)
    const counted = bench.relays.at(-1)
    const clients = Array.from({ length: size }, () => new ControlClient(counted?.address ?? ''))
    const cancels = clients.map((client, index) => client.watch({ instance: `entry-${index}` }, () => {}, () => {}))
    const measured = await bench.measure(id)
    for (const cancel of cancels) cancel()
    for (const client of clients) client.close()
    return measured
  })
}

async function startMeasuredAgent (bench: Bench): Promise<number> {
  const service = new ServiceStandIn()
  const { port } = await service.listen('127.0.0.1:0')
  const agent = await bench.daemon({ role: 'agent', instance: 'plain-measured', service: 'plain', upstream: `http://127.0.0.1:${port}` })
  const counted = await bench.count(agent.control)
  bench.register([{ instance: 'plain-measured', role: 'upstream', service: 'plain', dataCentre: 'first', region: 'here', state: 'live', address: agent.listen, controlAddress: counted.address }])
  return agent.id
}

/** Every subject of control traffic. */
export const controlSubjects: readonly Subject[] = [entryByUpstreams, entryByChanges, entryByOrganisations, entryByListed, agentByWatchers]
