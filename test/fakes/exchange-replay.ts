/** Replays the exchange of weights among agents in simulated time: real choices of chunks and uploads, simulated links and origin. */
import { emptyBitmap, hasBit, unionOf, withBit, type Bitmap } from '../../src/core/weights/bitmap.js'
import { fetchRanks, nextDistributionFetch, originPlaces, primaryFetcher, type DistributionPeer, type FetchRanks } from '../../src/core/weights/distribution-plan.js'
import { decideUpload } from '../../src/core/weights/upload.js'
import { PeerTable } from '../../src/roles/weights/peer-table.js'

const [chunkCount, chunkBytes] = [96, 24_576] as const
/** Overhead of a chunk: heads of the request and the answer. */
const overheadBytes = 400
const tickMilliseconds = 5
const announcementMilliseconds = 100
const announcementBytes = 150
const peerTimeoutMilliseconds = { sameDataCentre: 1500, otherDataCentre: 3000 } as const
const originTimeoutMilliseconds = 3000
const backoffMilliseconds = { first: 400, maximum: 6400, origin: 150 } as const
const agentBytesPerSecond = 640_000
const uploadShare = 0.92
const originBytesPerSecond = 912_000

/** What is replayed; times in milliseconds from the naming of the weights. */
export interface ExchangeOptions {
  readonly agentsPerDataCentre: number
  readonly dataCentres: number
  /** Rate of the link from one data centre to another, bytes per second. */
  readonly linkBytesPerSecond: number
  /** From when until when the origin refuses connections. */
  readonly originAway?: readonly [number, number]
}

/** What came of it. */
export interface ExchangeResult {
  /** When the first agent, half of them and the last had all chunks, milliseconds. */
  readonly completeAt: readonly [number, number, number]
  /** Longest time that a packet waited on a link between data centres, milliseconds. */
  readonly longestQueueMilliseconds: number
  /** Time for which a packet had to wait longer than 300 ms, milliseconds, the worst link. */
  readonly slowMilliseconds: number
  /** Bytes over all links between data centres, in copies of the weights for each other data centre than the origin's. */
  readonly copiesBetween: number
  readonly copiesFromOrigin: number
  readonly timeouts: number
}

class Pipe {
  bytes = 0
  freeAt = 0
  constructor (private readonly bytesPerSecond: number, private readonly delay: number) {}

  carry (bytes: number, from: number): number {
    this.bytes += bytes
    this.freeAt = Math.max(this.freeAt, from) + bytes / this.bytesPerSecond * 1000
    return this.freeAt + this.delay
  }
}

interface Known { readonly held: Bitmap, readonly heldInDataCentre: Bitmap }

class Agent {
  held = emptyBitmap(chunkCount)
  readonly known = new Map<number, Known>()
  readonly inFlight = new Set<number>()
  readonly fetches = new Map<number, number>()
  readonly retryAt = new Map<number, number>()
  readonly failures = new Map<number, number>()
  readonly offeredAt = new Map<number, number>()
  readonly down = new Pipe(agentBytesPerSecond, 0)
  readonly up = new Pipe(agentBytesPerSecond * uploadShare, 0)
  uploads = 0
  uploadMilliseconds = 0
  originInFlight = 0
  originRetryAt = 0
  originSince = 0
  originPlaces = originPlaces(chunkCount, emptyBitmap(chunkCount))
  heldCount = 0
  completeAt = Infinity
  isDirty = true

  constructor (readonly index: number, readonly dataCentre: number, readonly ranks: FetchRanks) {}
}

/** Plays one rollout. */
export class ExchangeReplay {
  private now = 0
  private readonly agents: readonly Agent[]
  /** Agents to which each one announces. */
  private readonly targets: readonly (readonly number[])[]
  private readonly links = new Map<string, Pipe>()
  private readonly origin = new Pipe(originBytesPerSecond, 1)
  private originChunks = 0
  private timeouts = 0
  private longestQueue = 0
  private readonly slow = new Map<string, number>()
  private events: { readonly at: number, readonly run: () => void }[] = []

  constructor (private readonly options: ExchangeOptions) {
    const { agentsPerDataCentre, dataCentres } = options
    const places = Array.from({ length: agentsPerDataCentre * dataCentres }, (_, index) => index % dataCentres)
    const name = (index: number): string => this.ipOf(index)
    const all = places.map((_, index) => name(index))
    this.targets = places.map((place, index) => {
      const table = new PeerTable(name(index), String(place))
      table.addPeers(places.map((other, position) => [String(other), name(position)]))
      return table.announcementTargets().map(({ ip }) => all.indexOf(ip))
    })
    this.agents = places.map((place, index) => new Agent(index, place, fetchRanks(chunkCount, name(index), all.filter((_, other) => other !== index), all.filter((_, other) => other !== index && places[other] === place))))
  }

  run (maximumMilliseconds = 30_000): ExchangeResult {
    while (this.now < maximumMilliseconds && this.agents.some(agent => agent.heldCount < chunkCount)) {
      if (this.now % announcementMilliseconds === 0) this.announce()
      this.runDue()
      for (const agent of this.agents) this.startFetches(agent)
      for (const [name, pipe] of this.links) {
        const queue = pipe.freeAt - this.now
        this.longestQueue = Math.max(this.longestQueue, queue)
        if (queue > 300) this.slow.set(name, (this.slow.get(name) ?? 0) + tickMilliseconds)
      }
      this.now += tickMilliseconds
    }
    const complete = this.agents.map(({ completeAt }) => completeAt).sort((left, right) => left - right)
    const between = [...this.links.values()].reduce((sum, { bytes }) => sum + bytes, 0)
    const copyBytes = chunkCount * (chunkBytes + overheadBytes)
    return {
      completeAt: [complete[0] ?? Infinity, complete[Math.floor(complete.length / 2)] ?? Infinity, complete.at(-1) ?? Infinity],
      longestQueueMilliseconds: Math.round(this.longestQueue),
      slowMilliseconds: Math.max(0, ...this.slow.values()),
      copiesBetween: between / copyBytes / (this.options.dataCentres - 1),
      copiesFromOrigin: this.originChunks / chunkCount,
      timeouts: this.timeouts
    }
  }

  private link (from: number, to: number): Pipe | undefined {
    if (from === to) return undefined
    const name = `${from}/${to}`
    const known = this.links.get(name) ?? new Pipe(this.options.linkBytesPerSecond, 2)
    this.links.set(name, known)
    return known
  }

  private after (at: number, run: () => void): void {
    this.events.push({ at, run })
  }

  private runDue (): void {
    const due = this.events.filter(({ at }) => at <= this.now).sort((left, right) => left.at - right.at)
    this.events = this.events.filter(({ at }) => at > this.now)
    for (const { run } of due) run()
  }

  /** Each agent tells all others what it holds and what its data centre holds; later over a link that is full. */
  private announce (): void {
    for (const agent of this.agents) {
      const nearby = [...agent.known].filter(([index]) => this.agents[index]?.dataCentre === agent.dataCentre).map(([, { held }]) => held)
      const told: Known = { held: agent.held, heldInDataCentre: unionOf(chunkCount, [agent.held, ...nearby]) }
      for (const index of this.targets[agent.index] ?? []) this.tell(agent, index, told)
    }
  }

  /** Announces to the agent of each other data centre that is the primary fetcher of a chunk there. */
  private announceToPrimaryFetchers (agent: Agent, position: number): void {
    const told: Known = { held: agent.held, heldInDataCentre: agent.held }
    for (let dataCentre = 0; dataCentre < this.options.dataCentres; dataCentre += 1) {
      if (dataCentre === agent.dataCentre) continue
      const members = this.agents.filter(other => other.dataCentre === dataCentre)
      const primary = primaryFetcher(position, members.map(other => this.ipOf(other.index)))
      const index = members.find(other => this.ipOf(other.index) === primary)?.index
      if (index !== undefined) this.tell(agent, index, told)
    }
  }

  private tell (agent: Agent, index: number, told: Known): void {
    const other = this.agents[index]
    if (other === undefined || other.heldCount === chunkCount) return
    const pipe = this.link(agent.dataCentre, other.dataCentre)
    this.after(pipe === undefined ? this.now + 1 : pipe.carry(announcementBytes, this.now), () => {
      other.known.set(agent.index, told)
      other.isDirty = true
    })
  }

  private ipOf (index: number): string {
    return `10.${index % this.options.dataCentres}.0.${index}`
  }

  private startFetches (agent: Agent): void {
    if (agent.heldCount === chunkCount || (!agent.isDirty && this.now % 20 !== 0)) return
    agent.isDirty = false
    const offered = this.offeredTo(agent)
    for (let position = 0; position < chunkCount; position += 1) if (!agent.offeredAt.has(position) && hasBit(offered, position)) agent.offeredAt.set(position, this.now)
    for (;;) {
      const peers: readonly DistributionPeer[] = [...agent.known].map(([index, { held }]) => ({
        ip: String(index),
        isInSameDataCentre: this.agents[index]?.dataCentre === agent.dataCentre,
        held,
        inFlight: agent.fetches.get(index) ?? 0,
        retryAt: agent.retryAt.get(index) ?? 0
      }))
      const next = nextDistributionFetch({ now: this.now, total: chunkCount, held: agent.held, ranks: agent.ranks, originSince: agent.originSince, originPlaces: agent.originPlaces, peers, offered, offeredAt: agent.offeredAt, inFlight: agent.inFlight, originInFlight: agent.originInFlight, originRetryAt: agent.originRetryAt, originCopyMilliseconds: chunkCount * chunkBytes / originBytesPerSecond * 1000 })
      if (next === undefined) return
      agent.inFlight.add(next.position)
      if (next.peer === undefined) this.fetchFromOrigin(agent, next.position)
      else this.fetchFromPeer(agent, Number(next.peer), next.position)
    }
  }

  private fetchFromOrigin (agent: Agent, position: number): void {
    agent.originInFlight += 1
    const end = (isStored: boolean): void => {
      agent.originInFlight -= 1
      if (!isStored) this.recordOriginFailure(agent)
      this.finish(agent, position, isStored)
      if (isStored) this.announceToPrimaryFetchers(agent, position)
    }
    const [from, to] = this.options.originAway ?? [Infinity, Infinity]
    if (this.now >= from && this.now < to) {
      this.after(this.now + 5, () => { end(false) })
      return
    }
    this.originChunks += 1
    this.deliver([this.origin, this.link(0, agent.dataCentre), agent.down], this.now + originTimeoutMilliseconds, end)
  }

  private recordOriginFailure (agent: Agent): void {
    agent.originSince = this.now
    agent.originRetryAt = this.now + backoffMilliseconds.origin
    agent.originPlaces = originPlaces(chunkCount, unionOf(chunkCount, [agent.held, this.offeredTo(agent)]))
  }

  private offeredTo (agent: Agent): Bitmap {
    return unionOf(chunkCount, [...agent.known].filter(([index]) => !agent.failures.has(index)).flatMap(([, { held, heldInDataCentre }]) => [held, heldInDataCentre]))
  }

  /** Carries a chunk through pipes one after another; `end` is called once, with whether it arrived by the deadline. */
  private deliver (pipes: readonly (Pipe | undefined)[], deadline: number, end: (isStored: boolean) => void): void {
    let isEnded = false
    const finish = (isStored: boolean): void => {
      if (isEnded) return
      isEnded = true
      if (!isStored) this.timeouts += 1
      end(isStored)
    }
    this.after(deadline, () => { finish(false) })
    const [first, ...rest] = pipes.filter(pipe => pipe !== undefined)
    const pass = (pipe: Pipe | undefined, following: readonly Pipe[]): void => {
      if (pipe === undefined) finish(true)
      else this.after(pipe.carry(chunkBytes + overheadBytes, this.now), () => { pass(following[0], following.slice(1)) })
    }
    pass(first, rest)
  }

  private fetchFromPeer (agent: Agent, index: number, position: number): void {
    const peer = this.agents[index]
    if (peer === undefined) return
    const deadline = this.now + peerTimeoutMilliseconds[peer.dataCentre === agent.dataCentre ? 'sameDataCentre' : 'otherDataCentre']
    agent.fetches.set(index, (agent.fetches.get(index) ?? 0) + 1)
    const release = (): void => { agent.fetches.set(index, (agent.fetches.get(index) ?? 0) - 1) }
    const arrivesAt = this.link(agent.dataCentre, peer.dataCentre)?.carry(200, this.now) ?? this.now + 1
    this.after(arrivesAt, () => {
      const decision = decideUpload({ running: peer.uploads, finishBy: 0, earliestFinishBy: 0, uploadMilliseconds: peer.uploadMilliseconds })
      const back = this.link(peer.dataCentre, agent.dataCentre)
      if (decision.type === 'busy') {
        this.after(back?.carry(200, this.now) ?? this.now + 1, () => {
          release()
          agent.failures.delete(index)
          agent.retryAt.set(index, this.now + decision.retryMilliseconds)
          this.finish(agent, position, false)
        })
        return
      }
      peer.uploads += 1
      const startedAt = this.now
      const sentAt = Math.max(peer.up.freeAt, this.now) + (chunkBytes + overheadBytes) / agentBytesPerSecond / uploadShare * 1000
      this.after(sentAt, () => {
        peer.uploads -= 1
        peer.uploadMilliseconds += (this.now - startedAt - peer.uploadMilliseconds) * 0.2
      })
      this.deliver([peer.up, back, agent.down], deadline, isStored => {
        release()
        if (isStored) agent.failures.delete(index)
        else {
          const failures = (agent.failures.get(index) ?? 0) + 1
          agent.failures.set(index, failures)
          agent.retryAt.set(index, this.now + Math.min(backoffMilliseconds.maximum, backoffMilliseconds.first * 2 ** (failures - 1)))
        }
        this.finish(agent, position, isStored)
      })
    })
  }

  private finish (agent: Agent, position: number, isStored: boolean): void {
    agent.inFlight.delete(position)
    agent.isDirty = true
    if (!isStored || hasBit(agent.held, position)) return
    agent.held = withBit(agent.held, position)
    agent.heldCount += 1
    if (agent.heldCount === chunkCount) agent.completeAt = this.now
  }
}
