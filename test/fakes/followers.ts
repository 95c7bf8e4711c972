/** Followers in one process over gRPC; traffic between any two of them can be dropped without an error. */
import { readFileSync } from 'node:fs'
import { generateConfiguration } from '../../src/core/configuration/generate.js'
import { ConfigurationFollower, type InstanceSource } from '../../src/nodes/configuration-follower.js'
import { ControlService, serveControl, type ControlServer, type FollowEvent, type FollowRequest, type FollowSession } from '../../src/transports/control.js'
import { answersSchema } from '../../src/types/answers.js'
import type { Change, ChangeRecord, Configuration } from '../../src/types/configuration.js'
import type { NodeDescription } from '../../src/types/messages.js'
import type { ListedInstance } from '../../src/types/platform.js'
import { FakeLog } from './log.js'

/** Time after which a condition that does not come true fails the test. */
const hangTimeoutMilliseconds = 60_000

/** Configuration of a deployment; the log runs in the first data centre, `ahmedabad`. */
export const configuration: Configuration = generateConfiguration(answersSchema.parse(JSON.parse(readFileSync('answers/khakhi-patrak.json', 'utf8'))))

/** Record of a change. */
export function changeBody (change: Change, basedOn: number, id = `${change.kind}-${basedOn}`): string {
  const record: ChangeRecord = { type: 'change', id, basedOn, author: 'test', at: 0, change }
  return JSON.stringify(record)
}

/** Record of a change that takes a data centre in or out of service. */
export function moveBody (dataCentre: string, state: 'in' | 'out', basedOn: number): string {
  return changeBody({ kind: 'data-centre', dataCentre, state }, basedOn)
}

/** A follower with its control server. */
export interface FollowerNode {
  readonly follower: ConfigurationFollower
  readonly listed: ListedInstance
  readonly bytesSent: () => number
  stop (): void
}

/** A fake log, an instance list and the nodes that follow them. */
export class FollowerBench {
  readonly log = new FakeLog()
  readonly nodes: FollowerNode[] = []
  /** Partition of the network for each node, none by default; only nodes of the same partition exchange messages. */
  readonly partitions = new Map<string, number>()
  private listed: readonly ListedInstance[] = []
  private readonly listeners = new Set<() => void>()

  constructor (whenIsolated: 'refuse' | 'serve' = 'refuse') {
    const deployment = { ...configuration.deployment, whenIsolated }
    this.log.append(changeBody({ kind: 'replace', configuration: { ...configuration, deployment } }, -1))
  }

  /** Starts a node; it is listed at once. */
  async add (instance: string, dataCentre: string, role: 'entry' | 'upstream' = 'entry'): Promise<FollowerNode> {
    const directory: InstanceSource = this
    const follower = new ConfigurationFollower({ client: this.log.clientOf(instance), directory, instance, dataCentre })
    const service = new BenchService(follower, other => this.isCut(instance, other))
    const server: ControlServer = await serveControl('127.0.0.1:0', service)
    const controlAddress = `127.0.0.1:${server.port}`
    const listed: ListedInstance = { instance, role, service: '', dataCentre, region: 'west', state: 'live', address: controlAddress, controlAddress }
    const stop = (): void => {
      follower.stop()
      server.close()
    }
    const node: FollowerNode = { follower, listed, bytesSent: () => service.bytes, stop }
    this.nodes.push(node)
    this.publishList([...this.listed, listed])
    follower.start()
    return node
  }

  get instances (): readonly ListedInstance[] {
    return this.listed
  }

  onChange (listener: () => void): void {
    this.listeners.add(listener)
  }

  publishList (listed: readonly ListedInstance[]): void {
    this.listed = listed
    for (const listener of this.listeners) listener()
  }

  isCut (left: string, right: string): boolean {
    return this.partitions.get(left) !== this.partitions.get(right)
  }

  /** Waits until every node has folded the whole log and may take work. */
  async waitUntilCurrent (): Promise<void> {
    await until(() => this.nodes.every(({ follower }) => follower.state.next === this.log.next && follower.mayTakeWork()))
  }

  stop (): void {
    for (const node of this.nodes) node.stop()
  }
}

/** Polls a condition until it is true; rejects after `hangTimeoutMilliseconds`. */
export async function until (condition: () => boolean): Promise<void> {
  const deadline = Date.now() + hangTimeoutMilliseconds
  while (!condition()) {
    if (Date.now() > deadline) throw new Error(`still waiting for ${condition.toString()}`)
    await pause(10)
  }
}

export async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

class BenchService extends ControlService {
  bytes = 0

  constructor (private readonly follower: ConfigurationFollower, private readonly isCut: (other: string) => boolean) {
    super()
  }

  describe (): NodeDescription {
    throw new Error('the bench describes no nodes')
  }

  follow (request: FollowRequest, send: (event: FollowEvent) => void): FollowSession {
    if (this.isCut(request.instance)) return { receiveHeartbeat: () => {}, end: () => {} }
    const served = this.follower.serve(request, event => {
      if (this.isCut(request.instance)) return
      this.bytes += eventOverheadBytes + event.snapshot.length + event.records.reduce((sum, { body }) => sum + recordOverheadBytes + body.length, 0)
      send(event)
    })
    return { receiveHeartbeat: later => { if (!this.isCut(request.instance)) served.receiveHeartbeat(later) }, end: () => { served.end() } }
  }
}

/** Bytes of an event without records on the wire: TCP/IP 52, HTTP/2 frame 9, gRPC 5, fields 20. */
const eventOverheadBytes = 86
const recordOverheadBytes = 14
