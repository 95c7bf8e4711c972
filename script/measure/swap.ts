/** A pool's change of weights under one seeded load, by several policies. */
import { maximumUnavailable, type PaceView } from '../../src/core/weights/swap-pacing.js'
import { seededRandom } from '../../src/utils/random.js'
import { generateWeights } from '../../stand-in/weights.js'
import { Pool, waitFor, warmLimit, type PoolMember } from './pool.js'
import type { MeasureTable } from './table.js'

const instances = 8
const copyBytes = 1 << 20
const chunkBytes = 64 << 10
const loadMilliseconds = 800
const coldLimit = 2
const answersPerStep = 2
const usualAnswerMilliseconds = 150
const arrivalsPerSecond = 240
const finishMilliseconds = 120_000
const stepMilliseconds = 10
const tailMilliseconds = 2000

interface Policy {
  readonly name: string
  readonly weighting: 'replicas' | 'service'
  readonly allowedAway: (view: PaceView) => number
}

const policies: readonly Policy[] = [
  { name: 'all at once', weighting: 'replicas', allowedAway: view => view.size },
  { name: 'one at a time', weighting: 'service', allowedAway: () => 1 },
  { name: 'window, replicas', weighting: 'replicas', allowedAway: maximumUnavailable },
  { name: 'window, service', weighting: 'service', allowedAway: maximumUnavailable }
]

/** Measures each policy on the same arrivals. */
export async function measureSwap (seed: number, words: readonly string[]): Promise<MeasureTable> {
  const rows: Array<Record<string, string | number>> = []
  for (const policy of policies.filter(({ name }) => words.every(word => name.includes(word)))) rows.push(await run(policy, seed))
  return { subject: `a pool of ${instances} changes weights under ${arrivalsPerSecond} requests a second (${usualAnswerMilliseconds} ms each, warm limit ${warmLimit}, cold ${coldLimit}, change ${loadMilliseconds} ms, deadline ${finishMilliseconds / 1000} s)`, rows }
}

async function run (policy: Policy, seed: number): Promise<Record<string, string | number>> {
  const { weighting, allowedAway } = policy
  const pool = await Pool.start({ instances, dataCentres: 1, originBytes: 0, linkBytes: 0, seed, weighting, allowedAway })
  const weights = generateWeights('model', null, `swap-${seed}`, copyBytes, chunkBytes)
  pool.origin.add(weights)
  for (const member of pool.members) member.served = 'old'
  const wanted = weights.named.digest
  const load = new Load(pool.members, seed)
  load.start()
  const started = Date.now()
  pool.want(wanted, started + finishMilliseconds)
  let highestAway = 0
  const isDone = (): boolean => {
    for (const member of pool.members) if (member.exchange.isComplete && member.served === 'old' && member.exchange.maySwap()) change(member, wanted)
    highestAway = Math.max(highestAway, pool.members.filter(member => member.served === '').length)
    return pool.members.every(member => member.served === wanted)
  }
  const done = await waitFor(isDone, finishMilliseconds * 2)
  const elapsed = Date.now() - started
  await new Promise(resolve => setTimeout(resolve, tailMilliseconds))
  load.stop()
  pool.stop()
  return {
    policy: policy.name,
    done: done ? 'yes' : 'NO',
    'milliseconds to all': elapsed,
    'most away': highestAway,
    requests: load.requests,
    refused: load.refused,
    'refused share': `${(100 * load.refused / load.requests).toFixed(2)}%`
  }
}

/** Drains, loads, and serves again, cold. */
function change (member: PoolMember, wanted: string): void {
  member.served = ''
  const finish = (): void => {
    member.served = wanted
    member.limit = coldLimit
    member.exchange.refreshServed()
  }
  const drain = setInterval(() => {
    if (member.inFlight > 0) return
    clearInterval(drain)
    setTimeout(finish, loadMilliseconds)
  }, stepMilliseconds)
}

/** Seeded arrivals, each sent to the serving member with the most room. */
class Load {
  requests = 0
  refused = 0
  private readonly random: () => number
  private timer: NodeJS.Timeout | undefined
  private nextAt = Date.now()
  private readonly answered = new Map<PoolMember, number>()

  constructor (private readonly members: readonly PoolMember[], seed: number) {
    this.random = seededRandom(seed)
  }

  start (): void {
    this.timer = setInterval(() => { this.arrive() }, stepMilliseconds)
  }

  stop (): void {
    clearInterval(this.timer)
  }

  private arrive (): void {
    while (this.nextAt <= Date.now()) {
      this.nextAt += -Math.log(1 - this.random()) * 1000 / arrivalsPerSecond
      this.send(usualAnswerMilliseconds * (0.5 + this.random()))
    }
  }

  private send (milliseconds: number): void {
    this.requests += 1
    const [member] = this.members
      .filter(candidate => candidate.served !== '' && candidate.inFlight < candidate.limit)
      .sort((left, right) => right.limit - right.inFlight - left.limit + left.inFlight)
    if (member === undefined) {
      this.refused += 1
      return
    }
    member.inFlight += 1
    setTimeout(() => { this.finish(member) }, milliseconds)
  }

  private finish (member: PoolMember): void {
    member.inFlight -= 1
    const answered = (this.answered.get(member) ?? 0) + 1
    const isStep = answered >= answersPerStep * member.limit
    this.answered.set(member, isStep ? 0 : answered)
    if (isStep) member.limit = Math.min(warmLimit, member.limit + 1)
  }
}
