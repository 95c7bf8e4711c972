/** Real agents with stand-ins of their upstreams and of the platform, in one process. */
import type { Server } from 'node:http'
import type { RunningNode } from '../../src/nodes/running-node.js'
import { startAgent } from '../../src/roles/agent/agent.js'
import { ControlClient } from '../../src/transports/control.js'
import type { Change, Configuration } from '../../src/types/configuration.js'
import { headers, type AgentStatus } from '../../src/types/messages.js'
import { agentSettingsSchema } from '../../src/types/settings.js'
import { digestBytes } from '../../src/utils/digest.js'
import { freshAddress } from '../../script/launch.js'
import { EngineStandIn } from '../../stand-in/engine.js'
import { InstancesStandIn } from '../../stand-in/instances.js'
import { LogStandIn } from '../../stand-in/log.js'
import { ServiceStandIn } from '../../stand-in/service.js'
import { generateWeights, WeightsStandIn } from '../../stand-in/weights.js'
import { configuration, eventually, intent } from './test-cluster.js'

const weightsSize = { totalBytes: 1 << 14, chunkBytes: 1 << 12 }

/** Two versions of weights; engines start on the first. */
export const testWeights = { first: generateWeights('badge', null, 'first', weightsSize.totalBytes, weightsSize.chunkBytes), second: generateWeights('badge', null, 'second', weightsSize.totalBytes, weightsSize.chunkBytes) }

/** One agent with its HTTP and control addresses, `ip:port`. */
export interface Slot {
  readonly node: RunningNode
  readonly instance: string
  readonly listen: string
  readonly control: string
}

/** An agent's answer as an entry receives it; header fields are empty when absent. */
export interface AgentAnswer {
  readonly status: number
  readonly outcome: string
  readonly failure: string
  readonly claimHolder: string
  readonly text: string
}

/** A request as an entry sends it. */
export interface AgentCall {
  readonly id: string
  readonly operation?: string
  readonly body?: string
  readonly key?: string
  readonly weights?: string
  /** Time until the deadline, milliseconds. */
  readonly milliseconds?: number
  readonly extraHeaders?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
}

/** Stand-ins of the platform with the agents of a test. */
export class SlotWorld {
  readonly log = new LogStandIn()
  readonly origin = new WeightsStandIn()
  readonly slots: Slot[] = []
  private readonly instanceList = new InstancesStandIn(0)
  private readonly servers: Server[] = []
  private platform = { log: '', instances: '' }
  private originUrl = ''
  private changeCount = 0

  static async start (): Promise<SlotWorld> {
    const world = new SlotWorld()
    world.origin.add(testWeights.first)
    world.origin.add(testWeights.second)
    const [log, instances, origin] = [await world.serve(world.log), await world.serve(world.instanceList), await world.serve(world.origin)]
    world.platform = { log, instances }
    world.originUrl = origin
    const base: Configuration = { ...configuration, intents: { first: intent('first', testWeights.first.named.digest) } }
    await world.change({ kind: 'replace', configuration: base }, -1)
    return world
  }

  /** Starts a stand-in on a free port and returns its base URL. */
  async serve (standIn: { listen (address: string): Promise<{ readonly server: Server, readonly port: number }> }): Promise<string> {
    const { server, port } = await standIn.listen('127.0.0.1:0')
    this.servers.push(server)
    return `http://127.0.0.1:${port}`
  }

  /** Appends a change to the configuration stream. */
  async change (change: Change, basedOn: number): Promise<void> {
    const id = `change-${this.changeCount += 1}`
    const record = { type: 'change', id, basedOn, author: 'test', at: 0, change }
    await this.append('configuration', record)
  }

  /** Appends a record to a stream of the log. */
  async append (stream: string, record: unknown): Promise<void> {
    await fetch(`${this.platform.log}/streams/${stream}/records`, { method: 'POST', body: JSON.stringify({ records: [JSON.stringify(record)] }) })
  }

  /** Starts an agent of the plain service `ledger`; resolves once it is open. */
  async addLedger (service: ServiceStandIn): Promise<Slot> {
    const slot = await this.add('ledger', await this.serve(service), {})
    await this.until(slot, status => status.state === 'open')
    return slot
  }

  /** Starts an agent of the model service `citations`; resolves once its engine serves the first weights. */
  async addEngine (engine: EngineStandIn): Promise<Slot> {
    const slot = await this.add('citations', await this.serve(engine), { origin: this.originUrl })
    await this.until(slot, status => status.state === 'open' && status.weights === testWeights.first.named.digest)
    return slot
  }

  /** Starts an agent at an upstream's URL, with further settings by name. */
  async add (service: string, upstream: string, extraSettings: Readonly<Record<string, string>>): Promise<Slot> {
    const [listen, control] = [freshAddress(), freshAddress()]
    const instance = `${service}-${this.slots.length}`
    const settings = agentSettingsSchema.parse({ role: 'agent', instance, dataCentre: 'east', region: 'one', service, listen, control, upstream, progressMilliseconds: 300, ...this.platform, ...extraSettings })
    const slot: Slot = { node: await startAgent(settings), instance, listen, control }
    this.slots.push(slot)
    return slot
  }

  async statusOf (slot: Slot): Promise<AgentStatus> {
    return await (await fetch(`http://${slot.listen}/status`)).json() as AgentStatus
  }

  async until (slot: Slot, condition: (status: AgentStatus) => boolean): Promise<void> {
    await eventually(async () => condition(await this.statusOf(slot)))
  }

  /** Sends a request to an agent as an entry does. */
  async call (slot: Slot, call: AgentCall): Promise<AgentAnswer> {
    const { id, operation = 'sign-off', body = '{}', key = '', weights = '', milliseconds = 20_000, extraHeaders: more = {} } = call
    const sentHeaders = {
      [headers.requestId]: id,
      [headers.organisation]: 'troop',
      [headers.deadline]: String(Date.now() + milliseconds),
      [headers.weights]: weights,
      [headers.fingerprint]: digestBytes(body),
      ...(key === '' ? {} : { [headers.idempotencyKey]: key }),
      ...more
    }
    const response = await fetch(`http://${slot.listen}/run/${operation}`, { method: 'POST', headers: sentHeaders, body, signal: call.signal ?? null })
    const header = (name: string): string => response.headers.get(name) ?? ''
    const text = await response.text().catch(() => 'cut')
    return { status: response.status, outcome: header(headers.outcome), failure: header(headers.failure), claimHolder: header(headers.claimHolder), text }
  }

  /** Sends a prompt to an agent of the model service. */
  async prompt (slot: Slot, id: string, prompt: string, maximumTokens: number, overrides: Partial<AgentCall> = {}): Promise<AgentAnswer> {
    const body = JSON.stringify({ id, prompt, maximumTokens, priority: 0, resumeFrom: 0 })
    return await this.call(slot, { id, operation: 'completions', body, weights: testWeights.first.named.digest, ...overrides })
  }

  /** Queries an agent's outcome of a request id or, when it is given, of a claimed key. */
  async outcomeOf (slot: Slot, requestId: string, key = '', incarnation = ''): Promise<string> {
    const client = new ControlClient(slot.control, 'own')
    const reply = await client.outcome({ requestId, key, incarnation }, Date.now() + 5000)
    client.close()
    return reply.outcome
  }

  async stop (): Promise<void> {
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
    await Promise.all(this.slots.map(async ({ node }) => { await node.stop() }))
  }
}
