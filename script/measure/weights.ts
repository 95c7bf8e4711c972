/** Time to N replicas and bytes drawn from the origin, beside the lower bound and the naive baseline. */
import { NaiveFetcher } from '../../src/roles/agent/exchange-naive.js'
import type { MakeFetcher } from '../../src/roles/agent/exchange.js'
import { makeWeights } from '../../stand-in/weights.js'
import { Pool, waitFor } from './pool.js'
import type { MeasureTable } from './table.js'

const copyBytes = 4 << 20
const chunkBytes = 64 << 10
/** The origin's link carries four copies in the time in which a machine's link carries two. */
const originBytes = 4 << 20
const linkBytes = 2 << 20
const dataCentres = 3
const capMilliseconds = 600_000

interface Trial {
  readonly replicas: number
  readonly policy: string
  readonly corrupt: number
  readonly kill: boolean
  readonly makeFetcher?: MakeFetcher
}

const makeNaive: MakeFetcher = (context, wanted) => new NaiveFetcher(context, wanted)

/** Lower bound, milliseconds: each data centre takes one copy through its share of the origin's link, each machine one through its own. */
export function lowerBound (replicas: number): number {
  const copies = Math.min(replicas, dataCentres)
  return Math.max(copyBytes * copies / originBytes, copyBytes / linkBytes) * 1000
}

const trials: readonly Trial[] = [6, 11, 40, 100].flatMap(replicas => [
  { replicas, policy: 'exchange', corrupt: 0, kill: false },
  { replicas, policy: 'naive', corrupt: 0, kill: false, makeFetcher: makeNaive }
]).concat([{ replicas: 11, policy: 'exchange', corrupt: 0.05, kill: true }])

/** Measures; `words` select by policy or by number of replicas. */
export async function measureWeights (seed: number, words: readonly string[]): Promise<MeasureTable> {
  const chosen = trials.filter(trial => words.every(word => [trial.policy, String(trial.replicas)].includes(word)))
  const rows: Array<Record<string, string | number>> = []
  for (const trial of chosen) rows.push(await run(trial, seed))
  return { subject: 'time to N replicas (copy 4 MiB in 64 KiB chunks, origin 4 MiB/s, machines 2 MiB/s each way, 3 data centres)', rows }
}

async function run (trial: Trial, seed: number): Promise<Record<string, string | number>> {
  const pool = await Pool.start({ instances: trial.replicas, dataCentres, originBytes, linkBytes, seed, makeFetcher: trial.makeFetcher })
  const weights = makeWeights('model', null, `measure-${seed}`, copyBytes, chunkBytes)
  pool.origin.add(weights)
  pool.store.add(weights)
  pool.origin.set({ corrupt: trial.corrupt })
  const started = Date.now()
  const processorBefore = process.cpuUsage()
  pool.want(weights.named.digest)
  const bound = lowerBound(trial.replicas)
  const killed = trial.kill ? pool.members[0] : undefined
  if (killed !== undefined) setTimeout(() => { pool.kill(killed) }, bound / 2)
  const rest = pool.members.filter(member => member !== killed)
  const whole = await waitFor(() => rest.every(member => member.exchange.isWhole), capMilliseconds)
  const elapsed = Date.now() - started
  const processor = process.cpuUsage(processorBefore)
  pool.stop()
  return {
    replicas: trial.replicas,
    policy: trial.policy,
    faults: trial.corrupt > 0 ? `${trial.corrupt * 100}% corrupt, one killed` : 'none',
    whole: whole ? 'yes' : 'NO',
    milliseconds: elapsed,
    'lower bound': Math.round(bound),
    ratio: Number((elapsed / bound).toFixed(2)),
    'origin copies': Number((pool.origin.sentBytes / copyBytes).toFixed(2)),
    'copies per data centre': Number((pool.origin.sentBytes / copyBytes / Math.min(trial.replicas, dataCentres)).toFixed(2)),
    'store copies': Number((pool.store.sentBytes / copyBytes).toFixed(2)),
    'processor ms': Math.round((processor.user + processor.system) / 1000)
  }
}
