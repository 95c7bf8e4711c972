/** Replays the exchange of weights among agents in simulated time: real choices of chunks and uploads, simulated links and origin. */
import { countBits, hasBit, unionOf, withBit, type Bitmap } from '../../src/core/weights/bitmap.js'
import { fetchRanks, nextDistributionFetch, originFetchers, originPlaces, primaryFetcher, type DistributionPeer } from '../../src/core/weights/distribution-plan.js'
import { estimateDelivery } from '../../src/core/weights/delivery-estimate.js'
import { manifestDelayMilliseconds } from '../../src/core/weights/manifest-order.js'
import { OriginOutage } from '../../src/core/weights/origin-outage.js'
import { decideUpload } from '../../src/core/weights/upload.js'
import { versionToFetch } from '../../src/core/weights/version-plan.js'
import { PeerTable } from '../../src/roles/weights/peer-table.js'
import { defaults, type ExchangeOptions, type ExchangeResult } from './exchange-options.js'
import { Pipe, ReplayNetwork } from './pipe.js'
import { ReplayAgent, ReplayFetch, type Known, type ReplayCopy } from './replay-agent.js'

/** Overhead of a chunk: heads of the request and the answer. */
const overheadBytes = 400
export type { ExchangeOptions, ExchangeResult } from './exchange-options.js'

const tickMilliseconds = 5
const announcementMilliseconds = 100
const announcementBytes = 150
const peerTimeoutMilliseconds = { sameDataCentre: 1500, otherDataCentre: 3000 } as const
const originTimeoutMilliseconds = 3000
const backoffMilliseconds = { first: 400, maximum: 6400 } as const
const uploadShare = 0.92
/** Time from a complete copy until it is served, and bytes of a digest in a manifest. */
const [swapMilliseconds, digestBytes] = [1000, 66] as const

/** Plays the rollout of one version or of a series. */
export class ExchangeReplay extends ReplayNetwork {
  private readonly agents: readonly ReplayAgent[]
  /** Agents to which each one announces. */
  private readonly targets: readonly (readonly number[])[]
  private readonly origin: Pipe
  private readonly outages: readonly OriginOutage[]
  private readonly set: Required<Pick<ExchangeOptions, keyof typeof defaults>>
  private readonly ips: readonly string[]
  private originChunks = 0
  private originRequests = 0
  private manifestRequests = 0
  /** When each chunk of version 2 first left the origin for an agent that is alive. */
  private readonly leftAt = new Map<number, number>()

  constructor (private readonly options: ExchangeOptions) {
    super(options.linkBytesPerSecond)
    this.set = { ...defaults, ...options }
    this.origin = new Pipe(this.set.originBytesPerSecond, 1)
    const { agentsPerDataCentre, dataCentres } = options
    const places = Array.from({ length: agentsPerDataCentre * dataCentres }, (_, index) => index % dataCentres)
    const all = places.map((place, index) => `10.${place}.0.${index}`)
    this.ips = all
    this.targets = places.map((place, index) => {
      const table = new PeerTable(all[index] ?? '', String(place))
      table.addPeers(places.map((other, position) => [String(other), all[position] ?? '']))
      return table.announcementTargets().map(({ ip }) => all.indexOf(ip))
    })
    const { chunkCount, agentBytesPerSecond } = this.set
    this.agents = places.map((place, index) => new ReplayAgent(index, place, fetchRanks(chunkCount, all[index] ?? '', all.filter((_, other) => other !== index), all.filter((_, other) => other !== index && places[other] === place)), chunkCount, agentBytesPerSecond, uploadShare))
    this.outages = this.agents.map(() => new OriginOutage())
    if (options.named === undefined) for (const agent of this.agents) this.open(agent, 2)
  }

  run (maximumMilliseconds = 30_000): ExchangeResult {
    const last = 1 + (this.options.named?.length ?? 1)
    while (this.now < maximumMilliseconds && this.alive().some(agent => this.options.named === undefined ? !agent.copy(last).isComplete() : agent.servedAt(this.now) < last)) {
      for (const [index, at] of this.options.killed ?? []) if (this.now >= at) this.agents.filter(agent => agent.index === index).forEach(agent => { agent.isDead = true })
      if (this.options.named !== undefined) for (const agent of this.alive()) this.plan(agent)
      if (this.now % announcementMilliseconds === 0) this.announce()
      this.runDue()
      for (const agent of this.alive()) this.startFetches(agent)
      this.observeQueues(tickMilliseconds)
      this.now += tickMilliseconds
    }
    const complete = this.alive().map(agent => agent.copy(last).completeAt).sort((left, right) => left - right)
    const copyBytes = this.set.chunkCount * (this.set.chunkBytes + overheadBytes)
    return {
      completeAt: [complete[0] ?? Infinity, complete[Math.floor(complete.length / 2)] ?? Infinity, complete.at(-1) ?? Infinity],
      ...this.queues,
      copiesBetween: this.bytesBetween / copyBytes / (this.options.dataCentres - 1),
      copiesFromOrigin: this.originChunks / this.set.chunkCount,
      timeouts: this.timeouts,
      outAt: this.leftAt.size < this.set.chunkCount ? Infinity : Math.max(...this.leftAt.values()),
      originRequests: this.originRequests,
      manifestRequests: this.manifestRequests,
      served: this.alive().map(({ served }) => served)
    }
  }

  private alive (): readonly ReplayAgent[] {
    return this.agents.filter(({ isDead }) => !isDead)
  }

  private get copyMilliseconds (): number {
    return this.set.chunkCount * this.set.chunkBytes / this.set.originBytesPerSecond * 1000
  }

  private open (agent: ReplayAgent, version: number): void {
    if (agent.fetch !== undefined) agent.fetch.isStopped = true
    agent.fetch = new ReplayFetch(agent.copy(version), this.now, this.copyMilliseconds)
    for (const index of this.options.named === undefined ? [] : this.targets[agent.index] ?? []) this.tell(agent, index, this.toldBy(agent, agent.fetch.copy))
  }

  /** Chooses the version to fetch, as the agent does on each poll and when it learns of a name, and fetches its manifest. */
  private plan (agent: ReplayAgent): void {
    const named = (this.options.named ?? []).map((at, index) => ({ version: index + 2, since: at })).filter(({ since }) => since + 20 + agent.index * 37 % 50 <= this.now).slice(-4)
    const newest = named.at(-1)
    if (newest === undefined || (agent.wanted.version === agent.fetch?.copy.version && agent.wanted.version === newest.version && this.now % 100 !== 0)) return
    const held = Math.max(1, ...[...agent.copies.values()].filter(copy => copy.isComplete()).map(({ version }) => version))
    const pending = named.filter(({ version }) => version > Math.max(agent.servedAt(this.now), held)).map(version => ({ ...version, deliveryMilliseconds: this.estimate(agent, agent.copy(version.version)) }))
    const { version } = versionToFetch({ now: this.now, pending, cutoffMilliseconds: this.set.cutoffMilliseconds, isServing: true }) ?? newest
    if (version !== agent.wanted.version) agent.wanted = { version, at: this.now }
    if (agent.fetch?.copy.version === version || this.now < agent.manifestAskedAt + 300) return
    const hasHolder = this.agents.some(other => other !== agent && agent.copy(version).known.has(other.index))
    if (!hasHolder && agent.copy(version).heldCount === 0) {
      if (this.now < agent.wanted.at + manifestDelayMilliseconds('model', version, this.ips[agent.index] ?? '', this.ips.filter((_, index) => index !== agent.index))) return
      this.originRequests += 1
      this.manifestRequests += 1
      if (this.isAway()) {
        agent.manifestAskedAt = this.now
        this.outages[agent.index]?.recordFailure(this.now)
        return
      }
    }
    agent.manifestAskedAt = this.now
    this.after(hasHolder ? this.now + 10 : this.origin.carry(this.set.chunkCount * digestBytes, this.now), () => {
      agent.manifestAskedAt = -Infinity
      if (agent.wanted.version === version && agent.fetch?.copy.version !== version) this.open(agent, version)
    })
  }

  private estimate (agent: ReplayAgent, copy: ReplayCopy): number {
    const { chunkCount, chunkBytes, agentBytesPerSecond } = this.set
    const missingEverywhere = chunkCount - countBits(copy.knownAt(this.now), chunkCount)
    return estimateDelivery({ total: chunkCount, chunkBytes, missingHere: chunkCount - copy.heldCount, missingEverywhere, originCopyMilliseconds: this.copyMilliseconds, linkBytesPerSecond: agentBytesPerSecond, isOriginAway: this.outages[agent.index]?.isAway(this.now) ?? false }).milliseconds
  }

  private isAway (): boolean {
    const [from, to] = this.options.originAway ?? [Infinity, Infinity]
    return this.now >= from && this.now < to
  }

  private toldBy (agent: ReplayAgent, copy: ReplayCopy): Known {
    const nearby = copy.recent(this.now).filter(([index]) => this.agents[index]?.dataCentre === agent.dataCentre).map(([, { held }]) => held)
    return { held: copy.held, heldInDataCentre: unionOf(copy.total, [copy.held, ...nearby]), at: this.now }
  }

  /** Each agent tells all others what it holds and what its data centre holds; later over a link that is full. */
  private announce (): void {
    for (const agent of this.alive()) {
      if (agent.fetch === undefined) continue
      const told = this.toldBy(agent, agent.fetch.copy)
      for (const index of this.targets[agent.index] ?? []) this.tell(agent, index, told)
    }
  }

  /** Announces to the primary fetcher of a chunk in each other data centre, and to those that would ask the origin next. */
  private announceOriginChunk (agent: ReplayAgent, fetch: ReplayFetch, position: number): void {
    const { copy } = fetch
    const told: Known = { held: copy.held, heldInDataCentre: copy.held, at: this.now }
    const known = copy.knownAt(this.now)
    const missing = fetch.origin.isAway ? Array.from({ length: copy.total }, (_, other) => other).filter(other => !hasBit(known, other)) : []
    const ips = new Set(originFetchers(position, missing, this.ips))
    for (let dataCentre = 0; dataCentre < this.options.dataCentres; dataCentre += 1) {
      const primary = primaryFetcher(position, this.ips.filter((_, index) => this.agents[index]?.dataCentre === dataCentre))
      if (dataCentre !== agent.dataCentre && primary !== undefined) ips.add(primary)
    }
    for (const ip of ips) if (ip !== this.ips[agent.index]) this.tell(agent, this.ips.indexOf(ip), told)
  }

  private tell (agent: ReplayAgent, index: number, told: Known): void {
    const other = this.agents[index]
    const version = agent.fetch?.copy.version
    if (other === undefined || version === undefined || other.isDead) return
    // An agent that holds all is told about once a second, which matters for its choice of versions only.
    if (other.copy(version).isComplete() && (this.options.named === undefined || this.now % 1000 !== 0)) return
    const failureAge = this.outages[agent.index]?.failureAge(this.now)
    const failedAt = failureAge === undefined ? -Infinity : this.now - failureAge
    const pipe = this.link(agent.dataCentre, other.dataCentre)
    this.after(pipe === undefined ? this.now + 1 : pipe.carry(announcementBytes, this.now), () => {
      other.copy(version).known.set(agent.index, told)
      this.outages[index]?.recordFailure(failedAt)
      other.isDirty = true
    })
  }

  private startFetches (agent: ReplayAgent): void {
    const { fetch } = agent
    if (fetch === undefined || fetch.copy.isComplete() || (!agent.isDirty && this.now % 20 !== 0)) return
    agent.isDirty = false
    const { copy } = fetch
    const { total } = copy
    const offered = this.offeredTo(fetch)
    for (let position = 0; position < total; position += 1) if (!copy.offeredAt.has(position) && hasBit(offered, position)) copy.offeredAt.set(position, this.now)
    for (;;) {
      const peers: readonly DistributionPeer[] = copy.recent(this.now).map(([index, { held }]) => ({
        ip: String(index),
        isInSameDataCentre: this.agents[index]?.dataCentre === agent.dataCentre,
        held,
        inFlight: agent.fetches.get(index) ?? 0,
        retryAt: agent.retryAt.get(index) ?? 0
      }))
      const known = copy.knownAt(this.now)
      const knownCount = countBits(known, total)
      if (fetch.origin.observe(this.now, knownCount)) {
        fetch.originPlaces = originPlaces(total, known)
        this.outages[agent.index]?.recordAnswer(this.now)
      }
      const next = nextDistributionFetch({ now: this.now, total, held: copy.held, ranks: agent.ranks, originSince: fetch.origin.since, originPlaces: fetch.originPlaces, originSent: fetch.origin.sent(knownCount), peers, offered, offeredAt: copy.offeredAt, inFlight: fetch.inFlight, originInFlight: fetch.originInFlight, originRetryAt: fetch.origin.retryAt, originCopyMilliseconds: this.copyMilliseconds })
      if (next === undefined) return
      fetch.inFlight.add(next.position)
      if (next.peer === undefined) this.fetchFromOrigin(agent, fetch, next.position)
      else this.fetchFromPeer(agent, fetch, Number(next.peer), next.position)
    }
  }

  private fetchFromOrigin (agent: ReplayAgent, fetch: ReplayFetch, position: number): void {
    fetch.originInFlight += 1
    this.originRequests += 1
    const end = (isStored: boolean): void => {
      fetch.originInFlight -= 1
      if (!isStored) this.recordOriginFailure(agent, fetch, position)
      else this.outages[agent.index]?.recordAnswer(this.now)
      this.finish(agent, fetch, position, isStored)
      if (isStored && !fetch.isStopped) this.announceOriginChunk(agent, fetch, position)
    }
    if (this.isAway()) return this.after(this.now + 5, () => { end(false) })
    this.originChunks += 1
    const [from, to, share] = this.options.originSlow ?? [Infinity, Infinity, 1]
    if (this.now >= from && this.now < to) this.origin.carry((this.set.chunkBytes + overheadBytes) * (1 / share - 1), this.now)
    const awayFrom = this.options.originAway?.[0] ?? Infinity
    const isCut = this.options.named !== undefined && this.now < awayFrom && Math.max(this.now, this.origin.freeAt) + this.copyMilliseconds / fetch.copy.total > awayFrom
    if (isCut) return this.after(awayFrom + 5, () => { end(false) })
    this.deliver([this.origin, this.link(0, agent.dataCentre), agent.down], this.now + originTimeoutMilliseconds, this.set.chunkBytes + overheadBytes, end)
    if (fetch.copy.version === 2) this.leftAt.set(position, Math.min(this.leftAt.get(position) ?? Infinity, this.origin.freeAt))
  }

  private recordOriginFailure (agent: ReplayAgent, fetch: ReplayFetch, position: number): void {
    const { copy } = fetch
    this.outages[agent.index]?.recordFailure(this.now)
    fetch.originPlaces = originPlaces(copy.total, unionOf(copy.total, [copy.held, this.offeredTo(fetch)]))
    fetch.origin.recordFailure(this.now, countBits(copy.knownAt(this.now), copy.total), fetch.originPlaces[position] ?? 0, agent.ranks.amongAll[position] === 0)
  }

  private offeredTo (fetch: ReplayFetch): Bitmap {
    return unionOf(fetch.copy.total, fetch.copy.recent(this.now).filter(([index]) => !fetch.failures.has(index)).flatMap(([, { held, heldInDataCentre }]) => [held, heldInDataCentre]))
  }

  private fetchFromPeer (agent: ReplayAgent, fetch: ReplayFetch, index: number, position: number): void {
    const peer = this.agents[index]
    if (peer === undefined) return
    const deadline = this.now + peerTimeoutMilliseconds[peer.dataCentre === agent.dataCentre ? 'sameDataCentre' : 'otherDataCentre']
    agent.fetches.set(index, (agent.fetches.get(index) ?? 0) + 1)
    const release = (): void => { agent.fetches.set(index, (agent.fetches.get(index) ?? 0) - 1) }
    const arrivesAt = this.link(agent.dataCentre, peer.dataCentre)?.carry(200, this.now) ?? this.now + 1
    const end = (isStored: boolean): void => {
      release()
      if (isStored) fetch.failures.delete(index)
      else {
        const failures = (fetch.failures.get(index) ?? 0) + 1
        fetch.failures.set(index, failures)
        agent.retryAt.set(index, this.now + Math.min(backoffMilliseconds.maximum, backoffMilliseconds.first * 2 ** (failures - 1)))
      }
      this.finish(agent, fetch, position, isStored)
    }
    this.after(arrivesAt, () => {
      if (peer.isDead) return this.after(deadline, () => { end(false) })
      const decision = decideUpload({ running: peer.uploads, finishBy: 0, earliestFinishBy: 0, uploadMilliseconds: peer.uploadMilliseconds })
      const back = this.link(peer.dataCentre, agent.dataCentre)
      if (decision.type === 'busy') {
        this.after(back?.carry(200, this.now) ?? this.now + 1, () => {
          release()
          fetch.failures.delete(index)
          agent.retryAt.set(index, this.now + decision.retryMilliseconds)
          this.finish(agent, fetch, position, false)
        })
        return
      }
      peer.uploads += 1
      const startedAt = this.now
      const sentAt = Math.max(peer.up.freeAt, this.now) + (this.set.chunkBytes + overheadBytes) / this.set.agentBytesPerSecond / uploadShare * 1000
      this.after(sentAt, () => {
        peer.uploads -= 1
        peer.uploadMilliseconds += (this.now - startedAt - peer.uploadMilliseconds) * 0.2
      })
      this.deliver([peer.up, back, agent.down], deadline, this.set.chunkBytes + overheadBytes, end)
    })
  }

  private finish (agent: ReplayAgent, fetch: ReplayFetch, position: number, isStored: boolean): void {
    const { copy } = fetch
    fetch.inFlight.delete(position)
    agent.isDirty = true
    if (!isStored || fetch.isStopped || agent.isDead || hasBit(copy.held, position)) return
    copy.held = withBit(copy.held, position)
    copy.heldCount += 1
    if (!copy.isComplete()) return
    copy.completeAt = this.now
    if (copy.version > Math.max(...agent.served.map(({ version }) => version))) agent.served.push({ version: copy.version, at: this.now + swapMilliseconds })
  }
}
