/** Real entries with stand-ins of the log and the instance list, and with fake agents, in one process. */
import { setTimeout as wait } from 'node:timers/promises'
import type { Server } from 'node:http'
import type { RunningNode } from '../../src/nodes/running-node.js'
import { startEntry } from '../../src/roles/entry/entry.js'
import type { Change, Configuration, Intent } from '../../src/types/configuration.js'
import { headers, type AgentStatus, type NodeDescription } from '../../src/types/messages.js'
import type { ListedInstance } from '../../src/types/platform.js'
import { entrySettingsSchema, type EntrySettings } from '../../src/types/settings.js'
import { InstancesStandIn } from '../../stand-in/instances.js'
import { LogStandIn } from '../../stand-in/log.js'
import { freshAddress } from '../../script/launch.js'
import { FakeAgent, createListedInstance } from './agent.js'

/** Digests of two versions of weights. */
export const newWeights = 'a'.repeat(64)
export const oldWeights = 'b'.repeat(64)

const conditionTimeoutMilliseconds = 60_000
const serviceLimits = { coldBound: 2, fullBound: 8, firstByteTargetMilliseconds: 500 }

/** A rollout intent of the tests' configuration. */
export function intent (id: string, manifest: string): Intent {
  return { id, service: 'citations', model: 'badge', adapter: null, version: id, manifest, organisations: ['troop', 'patrol'], dataCentres: ['east', 'west'], finishBy: 0 }
}

/** Configuration of the tests: two data centres, two organisations, a model and a plain service. */
export const configuration: Configuration = {
  deployment: { name: 'test', weighting: 'service', logDataCentre: 'east', whenIsolated: 'serve' },
  dataCentres: { east: { region: 'one', state: 'in' }, west: { region: 'two', state: 'in' } },
  organisations: { troop: { share: 1, priority: 'normal', retriesPerSecond: 50 }, patrol: { share: 1, priority: 'normal', retriesPerSecond: 1 } },
  services: { citations: { kind: 'model', ...serviceLimits, fencing: 'checked' }, ledger: { kind: 'plain', ...serviceLimits, nonIdempotent: ['sign-off'] } },
  intents: { first: intent('first', newWeights) }
}

/** An entry under test. */
export interface StartedEntry { readonly node: RunningNode, readonly listed: ListedInstance, readonly url: string }

/** Answer that a caller received. */
export interface Answer {
  readonly status: number
  readonly outcome: string
  readonly failure: string
  readonly headers: Headers
  readonly text: string
  /** Lines of a stream of tokens. */
  readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>
}

/** Answer of `GET /status`. */
export interface EntryStatus { readonly node: NodeDescription, readonly upstreams: readonly AgentStatus[] }

/** Options of a test cluster. */
export interface TestClusterOptions {
  readonly entries?: number
  /** Data centre of each fake agent, by service. */
  readonly citations?: readonly string[]
  readonly ledger?: readonly string[]
  readonly settings?: Partial<EntrySettings>
}

/** A running test cluster. */
export class TestCluster {
  readonly agents: FakeAgent[] = []
  readonly entries: StartedEntry[] = []
  private readonly log = new LogStandIn()
  private readonly instanceList = new InstancesStandIn(0)
  private readonly servers: Server[] = []
  private platform = { log: '', instances: '' }
  private changes = 0

  static async start (plan: TestClusterOptions): Promise<TestCluster> {
    const cluster = new TestCluster()
    await cluster.open(plan)
    return cluster
  }

  /** Agents of a service. */
  agentsOf (service: string): readonly FakeAgent[] {
    return this.agents.filter(agent => agent.listed.service === service)
  }

  /** Requests that reached any agent. */
  get requestCount (): number {
    return this.agents.reduce((sum, agent) => sum + agent.runs.length, 0)
  }

  /** Appends a change of the configuration; `basedOn` is the revision of its scope, -1 for none. */
  async change (change: Change, basedOn: number): Promise<void> {
    const id = `change-${this.changes += 1}`
    const record = { type: 'change', id, basedOn, author: 'test', at: 0, change }
    await fetch(`${this.platform.log}/streams/configuration/records`, { method: 'POST', body: JSON.stringify({ records: [JSON.stringify(record)] }) })
  }

  /** Publishes the instance list; an instance for which `change` returns undefined is omitted. */
  publishList (change: (listed: ListedInstance) => ListedInstance | undefined = listed => listed): void {
    this.instanceList.set([...this.entries.map(({ listed }) => listed), ...this.agents.map(({ listed }) => listed)].flatMap(listed => change(listed) ?? []))
  }

  /** Waits until every entry has the configuration and the expected number of upstreams. */
  async waitForUpstreams (expected = this.agents.length): Promise<void> {
    for (const entry of this.entries) {
      await eventually(async () => {
        const status = await readStatus(entry.url)
        return status.upstreams.length === expected && status.node.revision >= 0
      })
    }
  }

  /** Reads the status of an entry and its upstreams. */
  async status (entry: number): Promise<EntryStatus> {
    return await readStatus(this.urlOf(entry))
  }

  /** Sends a request to an entry; `more` are additional headers. */
  async call (path: string, body: unknown, more: Readonly<Record<string, string>> = {}, entry = 0): Promise<Answer> {
    const response = await fetch(`${this.urlOf(entry)}/services/${path}`, { method: 'POST', headers: { [headers.organisation]: 'troop', ...more }, body: typeof body === 'string' ? body : JSON.stringify(body) })
    const text = await response.text()
    const streamed = response.headers.get('content-type') === 'application/x-ndjson'
    const lines = streamed ? text.trim().split('\n').map(line => JSON.parse(line) as Record<string, unknown>) : []
    return { status: response.status, outcome: response.headers.get(headers.outcome) ?? '', failure: response.headers.get(headers.failure) ?? '', headers: response.headers, text, lines }
  }

  urlOf (entry: number): string {
    const started = this.entries[entry]
    if (started === undefined) throw new Error(`there is no entry ${entry}`)
    return started.url
  }

  stop (): void {
    for (const agent of this.agents) agent.stop()
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
    for (const { node } of this.entries) node.stop().catch(() => {})
  }

  private async open (plan: TestClusterOptions): Promise<void> {
    const [log, list] = await Promise.all([this.log.listen('127.0.0.1:0'), this.instanceList.listen('127.0.0.1:0')])
    this.servers.push(log.server, list.server)
    this.platform = { log: `http://127.0.0.1:${log.port}`, instances: `http://127.0.0.1:${list.port}` }
    await this.change({ kind: 'replace', configuration }, -1)
    for (const service of ['citations', 'ledger'] as const) await this.addAgents(service, plan[service] ?? [])
    for (let index = 0; index < (plan.entries ?? 1); index += 1) await this.addEntry(index, plan.settings ?? {})
    this.publishList()
    await this.waitForUpstreams()
  }

  private async addAgents (service: 'citations' | 'ledger', dataCentres: readonly string[]): Promise<void> {
    for (const [index, dataCentre] of dataCentres.entries()) {
      const region = configuration.dataCentres[dataCentre]?.region ?? ''
      const agent = new FakeAgent(createListedInstance({ instance: `${service}-${index}`, service, dataCentre, region }), service === 'citations' ? newWeights : '')
      await agent.start()
      this.agents.push(agent)
    }
  }

  private async addEntry (index: number, change: Partial<EntrySettings>): Promise<void> {
    const [listen, control] = [freshAddress(), freshAddress()]
    const instance = `entry-${index}`
    const settings = entrySettingsSchema.parse({ role: 'entry', instance, dataCentre: 'east', region: 'one', listen, control, ...this.platform, questionMilliseconds: 200, progressMilliseconds: 500, locateMilliseconds: 300, ...change })
    const node = await startEntry(settings)
    const listed: ListedInstance = { instance, role: 'entry', service: '', dataCentre: 'east', region: 'one', state: 'live', address: listen, controlAddress: control }
    this.entries.push({ node, listed, url: `http://${listen}` })
  }
}

/** Polls a condition until it holds; throws after 60 s, so that a test does not hang. */
export async function eventually (condition: () => boolean | Promise<boolean>): Promise<void> {
  const cap = Date.now() + conditionTimeoutMilliseconds
  while (!await condition()) {
    if (Date.now() > cap) throw new Error('the condition did not hold within 60 s')
    await wait(10)
  }
}

async function readStatus (url: string): Promise<EntryStatus> {
  return await (await fetch(`${url}/status`)).json() as EntryStatus
}
