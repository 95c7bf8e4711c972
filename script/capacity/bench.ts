/** The surroundings of a measured daemon: platform stand-ins in this process, a counter before each. */
import { appendChange } from '../../src/commands/append-change.js'
import { generateConfiguration } from '../../src/core/configuration/generate.js'
import { emptyFold } from '../../src/core/configuration/fold.js'
import { HttpLogClient } from '../../src/transports/log-client.js'
import type { Answers } from '../../src/types/answers.js'
import type { Configuration } from '../../src/types/configuration.js'
import type { ListedInstance } from '../../src/types/platform.js'
import { waitUntil } from '../../src/utils/clock.js'
import { InstancesStandIn } from '../../stand-in/instances.js'
import { LogStandIn } from '../../stand-in/log.js'
import { freshAddress, startDaemon } from '../launch.js'
import type { ManagedProcess } from '../process.js'
import { CountingRelay } from './counting-relay.js'
import { readUsage, type Usage } from './process-usage.js'

const settleMilliseconds = 2500
const windowMilliseconds = 6000
const changeMilliseconds = 10_000

/** What one window of measurement gave. */
export interface Measured {
  /** Bytes a second on the control connections, both ways. */
  readonly controlBytesPerSecond: number
  /** Processor seconds for each second. */
  readonly processorShare: number
  readonly residentBytes: number
}

/** Answers of a small deployment with one data centre. */
export function benchAnswers (organisations: number): Answers {
  return {
    deployment: 'bench',
    weighting: 'replicas',
    whenIsolated: 'refuse',
    logDataCentre: 'first',
    dataCentres: [{ name: 'first', region: 'here' }],
    organisations: Array.from({ length: organisations }, (_, index) => ({ name: `organisation-${index}`, size: 'small' as const })),
    services: [
      { name: 'model', kind: 'model', checksOrders: true, bearsCold: 64, bearsWarm: 64, firstByteMilliseconds: 5000 },
      { name: 'plain', kind: 'plain', bearsCold: 64, bearsWarm: 64, firstByteMilliseconds: 5000, nonIdempotent: ['post'] }
    ]
  }
}

/** Platform stand-ins with relays in front. */
export class Bench {
  readonly log = new LogStandIn()
  readonly list = new InstancesStandIn(0)
  readonly relays: CountingRelay[] = []
  private readonly children: ManagedProcess[] = []
  private listed: readonly ListedInstance[] = []
  logUrl = ''
  listUrl = ''
  /** The log without a counter, for this script's own use. */
  directLogUrl = ''
  /** The list without a counter. */
  directListUrl = ''

  /** Starts the stand-ins and applies a configuration. */
  async start (configuration: Configuration = generateConfiguration(benchAnswers(10))): Promise<void> {
    const log = await this.log.listen('127.0.0.1:0')
    const list = await this.list.listen('127.0.0.1:0')
    this.directLogUrl = `http://127.0.0.1:${log.port}`
    this.directListUrl = `http://127.0.0.1:${list.port}`
    this.logUrl = `http://${(await this.count(`127.0.0.1:${log.port}`)).address}`
    this.listUrl = `http://${(await this.count(`127.0.0.1:${list.port}`)).address}`
    await this.apply(configuration)
  }

  /** Appends a whole configuration. */
  async apply (configuration: Configuration): Promise<void> {
    const client = new HttpLogClient(this.directLogUrl)
    const result = await appendChange(client, emptyFold, { kind: 'replace', configuration }, 'bench', Date.now() + changeMilliseconds)
    if (result.tag !== 'accepted') throw new Error(`the configuration was not accepted: ${result.tag}`)
  }

  /** A counted way to `target`. */
  async count (target: string): Promise<CountingRelay> {
    const relay = await CountingRelay.before(target)
    this.relays.push(relay)
    return relay
  }

  /** Adds lines to the instance list. */
  register (added: readonly ListedInstance[]): void {
    this.listed = [...this.listed, ...added]
    this.list.set(this.listed)
  }

  /** Starts the daemon to be measured. */
  async daemon (flags: Readonly<Record<string, string>>): Promise<{ readonly id: number, readonly listen: string, readonly control: string }> {
    const [listen, control] = [freshAddress(), freshAddress()]
    const child = await startDaemon({ 'data-centre': 'first', region: 'here', listen, control, log: this.logUrl, instances: this.listUrl, 'log-level': 'error', ...flags })
    this.children.push(child)
    return { id: child.pid ?? 0, listen, control }
  }

  /** Lets things settle, then measures one window, during which `work` runs. */
  async measure (id: number, work: (until: number) => Promise<void> = async until => { await waitUntil(until) }): Promise<Measured> {
    await waitUntil(Date.now() + settleMilliseconds)
    const bytesBefore = this.bytes
    const before = readUsage(id)
    const started = Date.now()
    await work(started + windowMilliseconds)
    const seconds = (Date.now() - started) / 1000
    const after = readUsage(id)
    return describe(before, after, this.bytes - bytesBefore, seconds)
  }

  end (): void {
    for (const child of this.children) child.kill('SIGKILL')
    for (const relay of this.relays) relay.close()
  }

  private get bytes (): number {
    return this.relays.reduce((total, relay) => total + relay.bytes, 0)
  }
}

function describe (before: Usage, after: Usage, bytes: number, seconds: number): Measured {
  return {
    controlBytesPerSecond: bytes / seconds,
    processorShare: (after.processorSeconds - before.processorSeconds) / seconds,
    residentBytes: after.residentBytes
  }
}
