/** Gossip between entries, and the messages of agents. */
import type { CrashSuspects } from '../../core/dispatch/crash-suspects.js'
import { KnownLag } from '../../core/fleet/known-lag.js'
import { membersPerMessage, fanOut, gossipTargets, roundMilliseconds, sample } from '../../core/fleet/gossip-plan.js'
import { beforeLog, formatPosition, isBefore, isInLog, type LogPosition } from '../../core/log-position.js'
import type { Member, Membership } from '../../core/fleet/members.js'
import { isLagging, type RecordFollower } from '../../nodes/record-follower.js'
import { fetchRecords, UnknownRemovalsError } from '../../nodes/fed-record-log.js'
import type { FedStream } from '../../nodes/record-feed.js'
import { CheckedAgent } from '../../transports/checked-agent.js'
import type { DatagramSocket } from '../../transports/datagrams.js'
import type { Gossip, NodeMessage, PermitRequest } from '../../types/node-messages.js'
import type { ReadRecords } from '../../types/ports.js'
import { runInBackground } from '../../utils/background.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { AgentSubscriptions } from './agent-subscriptions.js'
import { CrashGossip } from './crash-gossip.js'
import type { FleetState } from './fleet-state.js'
import type { UpstreamLimits } from './upstream-limits.js'
import type { UpstreamPool } from './upstream-pool.js'

const log = logFor('members')

/** Shortest time between two fetches of a stream from other entries, milliseconds; doubled for each consecutive failure up to the maximum, since the link to them may be full. */
const fetchIntervalMilliseconds = { first: 500, maximum: 8000 } as const
/** Time without a confirmation by the own sources after which records are fetched from another data centre, milliseconds. */
const remoteFetchMilliseconds = 1500

/** Time for which news are collected before all members are told, milliseconds. */
const newsDelayMilliseconds = 20

/** What gossip reads and updates. */
export interface GossipContext {
  readonly members: Membership
  readonly datagrams: () => DatagramSocket
  readonly state: FleetState
  readonly pool: UpstreamPool
  readonly limits: UpstreamLimits
  readonly suspects: CrashSuspects
  readonly operators: RecordFollower
  readonly instances: RecordFollower
  /** IPs of nodes to contact while few entries are known. */
  readonly seeds: readonly string[]
  /** Port between nodes, the same on all of them. */
  readonly internalPort: number
  isReady (): boolean
}

/** Gossip of one entry; its rounds run from construction until `stop`. */
export class EntryGossip {
  private readonly agent = new CheckedAgent({ keepAlive: true, maxSockets: 2 })
  private readonly subscriptions: AgentSubscriptions
  /** Streams that are being fetched from another entry. */
  private readonly fetching = new Set<FedStream>()
  /** When a stream may be fetched again, milliseconds of the monotonic clock. */
  private readonly nextFetchAt = new Map<FedStream, number>()
  /** Consecutive fetches that failed. */
  private readonly fetchFailures = new Map<FedStream, number>()
  /** What other entries have read of the operators' records. */
  private readonly operatorsRead = new KnownLag()
  private newsTimer: NodeJS.Timeout | undefined
  /** What `announceRead` sent last. */
  private lastAnnouncedRead = ''
  private readonly crashes: CrashGossip
  private readonly timer: NodeJS.Timeout

  constructor (private readonly context: GossipContext) {
    const { members, datagrams, state, pool } = context
    this.subscriptions = new AgentSubscriptions({
      dataCentre: members.self.dataCentre,
      state,
      entryCount: () => members.living(monotonicNow()).length,
      engines: () => pool.all().flatMap(({ upstream }) => upstream.isEngine ? [upstream] : []),
      vouchedAt: ip => pool.vouchedAt(ip),
      send: (message, ip) => { datagrams().send(message, ip) }
    })
    this.crashes = new CrashGossip({ suspects: context.suspects, datagrams, reachable: () => members.reachable() })
    this.timer = setInterval(() => { this.round() }, roundMilliseconds)
  }

  /** Sends this entry's state to every known member at once, as before a stop. */
  announceToAll (): void {
    const message = this.message()
    for (const member of this.context.members.reachable()) this.context.datagrams().send(message, member.ip)
  }

  /** Tells all members at once what has been read from the log and which upstreams leave: the records may take longer to reach them. */
  announceNews (): void {
    this.newsTimer ??= setTimeout(() => {
      this.newsTimer = undefined
      const message = this.message([])
      for (const member of this.context.members.reachable()) this.context.datagrams().send(message, member.ip)
    }, newsDelayMilliseconds)
  }

  /** Whether other entries have read operators' records that this one lacks. */
  get lacksOperatorsRecords (): boolean {
    return this.operatorsRead.isBehind(this.context.operators.state.next, monotonicNow())
  }

  /** Tells the entries of this data centre at once what this one has read since the last call, as while it stops: they have turned to another one, which may not read yet. */
  announceRead (): void {
    const { members, operators, instances, datagrams } = this.context
    const read = `${formatPosition(operators.state.next)} ${formatPosition(instances.state.next)}`
    if (read === this.lastAnnouncedRead) return
    this.lastAnnouncedRead = read
    const message = this.message()
    for (const member of members.reachable()) if (member.dataCentre === members.self.dataCentre) datagrams().send(message, member.ip)
  }

  /** Tells agents of new named weights and of new facts at once. */
  announceStateToAgents (): void {
    this.subscriptions.announceChanges()
  }

  stop (): void {
    clearInterval(this.timer)
    clearTimeout(this.newsTimer)
    this.subscriptions.stop()
    this.crashes.stop()
  }

  /** Sends this entry's state to an entry that was found by other means than gossip. */
  announceTo (ip: string): void {
    this.context.datagrams().send(this.message(), ip)
  }

  /** Handles a datagram of another node; those between agents are ignored. */
  receive (message: NodeMessage, ip: string): void {
    if (message.kind === 'gossip') this.handleGossip(message)
    else if (message.kind === 'crash-evidence') this.crashes.receive(message)
    else if (message.kind === 'permit-request') this.answerPermitRequest(message, ip)
    else if (message.kind === 'permit-answer') this.context.limits.receive(message, ip)
    else if (message.kind === 'load') this.context.pool.applyLoadReport(message, ip)
    else if (message.kind === 'slot-reply') this.context.pool.receiveSlotReply(message)
    else if (message.kind === 'introduction') this.subscriptions.answerIntroduction(message.service, ip)
  }

  /** Runs one round: sends gossip to some members, forgets those that died long ago, and renews subscriptions. */
  round (): void {
    const { members, datagrams, seeds } = this.context
    const message = this.message()
    const others = members.reachable()
    const ips = new Set(gossipTargets(others, members.self.dataCentre, Math.random).map(({ ip }) => ip))
    if (others.length < fanOut.sameDataCentre + fanOut.any) for (const seed of seeds) ips.add(seed)
    ips.delete(members.self.ip)
    for (const ip of ips) datagrams().send(message, ip)
    this.crashes.sendTo([...ips])
    members.prune(monotonicNow())
    this.subscriptions.renew()
  }

  private message (others = this.sampleOthers()): Gossip {
    const { members, state, pool, limits, operators, instances } = this.context
    const self = members.beat(this.context.isReady())
    return {
      kind: 'gossip',
      sender: self,
      others,
      operatorsNext: operators.state.next,
      instancesNext: instances.state.next,
      operatorsEras: operators.eras,
      instancesEras: instances.eras,
      weights: state.weights,
      limits: limits.gossip(),
      leaving: pool.availability.gossip()
    }
  }

  private sampleOthers (): readonly Member[] {
    const { members } = this.context
    const others = members.living(monotonicNow()).filter(member => member.instance !== members.self.instance)
    return sample(others, membersPerMessage(others.length), Math.random)
  }

  private handleGossip (gossip: Gossip): void {
    const { state, limits, pool } = this.context
    const now = monotonicNow()
    for (const member of [gossip.sender, ...gossip.others]) this.recordMember(member, now)
    state.mergeWeights(gossip.weights)
    limits.merge(gossip.limits, gossip.sender.instance)
    pool.availability.merge(gossip.leaving, id => pool.find(id), gossip.sender.instance)
    // An entry that reads a new era late cannot tell what was written since from what the copy held.
    if (gossip.operatorsEras !== undefined) this.context.operators.learnEras(gossip.operatorsEras)
    if (gossip.instancesEras !== undefined) this.context.instances.learnEras(gossip.instancesEras)
    this.operatorsRead.observe(gossip.operatorsNext, now)
    this.fetchIfLagging('operators', gossip.operatorsNext, gossip.sender, now)
    this.fetchIfLagging('instances', gossip.instancesNext, gossip.sender, now)
  }

  private answerPermitRequest (request: PermitRequest, ip: string): void {
    const answer = this.context.limits.answer(request, ip)
    if (answer !== undefined) this.context.datagrams().send(answer, ip)
  }

  /** Fetches a stream from a member that has read further while this entry's own sources do not deliver; from another data centre only if this one's entries have not helped for a while. */
  private fetchIfLagging (stream: FedStream, next: LogPosition, sender: Member, now: number): void {
    const { members } = this.context
    const follower = this.context[stream]
    const isNear = sender.dataCentre === members.self.dataCentre
    // One that stops announces what the entry that takes its place may not have read yet.
    const isHandedOver = isNear && !sender.isReady && isBefore(follower.state.next, next)
    if ((!isHandedOver && !isLagging(follower.state, next, now)) || members.self.instance === sender.instance || this.fetching.has(stream)) return
    if (!isNear && now - follower.state.confirmedAt < remoteFetchMilliseconds && isInLog(follower.state.next)) return
    if (now < (this.nextFetchAt.get(stream) ?? 0)) return
    const { first, maximum } = fetchIntervalMilliseconds
    this.nextFetchAt.set(stream, now + Math.min(maximum, first * 2 ** (this.fetchFailures.get(stream) ?? 0)))
    runInBackground(this.fetchRecords(stream, sender), log, 'fetch records from another entry')
  }

  private recordMember (member: Member, now: number): void {
    if (!this.context.members.observe(member, now)) return
    this.crashes.sendTo([member.ip])
    log.info('entry joined or is alive again', { instance: member.instance, dataCentre: member.dataCentre, incarnation: member.incarnation })
  }

  /** Fetches what a member has read beyond this entry, or everything if the member may not know all removals since. */
  private async fetchRecords (stream: FedStream, member: Member): Promise<void> {
    const follower = this.context[stream]
    this.fetching.add(stream)
    try {
      const isNear = member.dataCentre === this.context.members.self.dataCentre
      const fetchFrom = async (from: LogPosition): Promise<{ readonly read: ReadRecords, readonly from: LogPosition }> =>
        ({ read: await fetchRecords(`${member.ip}:${this.context.internalPort}`, stream, from, this.agent, isNear ? 'peer' : 'remote-peer', this.context.members.self.instance), from })
      const { read, from } = await fetchFrom(follower.state.next).catch((error: unknown) => {
        if (error instanceof UnknownRemovalsError) return fetchFrom(beforeLog)
        throw error
      })
      this.fetchFailures.delete(stream)
      follower.receiveRecords(read, from)
      log.info('records fetched from another entry', { instance: member.instance, stream, records: read.records.length, from: from.offset, next: read.next.offset, era: read.next.era, bytes: read.cost.bytes })
    } catch (error) {
      this.fetchFailures.set(stream, (this.fetchFailures.get(stream) ?? 0) + 1)
      follower.countPeerFailure(error)
      throw error
    } finally {
      this.fetching.delete(stream)
    }
  }
}
