/** Time to N replicas and bytes drawn from the origin, beside the lower bound and the naive baseline. */
import { generateWeights, WeightsStandIn, type GeneratedWeights } from '../../stand-in/weights.js'
import { WorkerPool } from './worker-pool.js'
import type { MeasureTable } from './table.js'

const copyBytes = 4 << 20
const chunkBytes = 64 << 10
/** The origin's link carries four copies in the time in which a machine's link carries two. */
const originBytes = 2 << 20
const linkBytes = 1 << 20
const dataCentres = 3
const capMilliseconds = 600_000

interface Trial {
  readonly replicas: number
  readonly policy: 'exchange' | 'naive'
  readonly corrupt: number
  readonly kill: boolean
  /** Every link is this many times slower, so that one machine's processor bears the pool. */
  readonly slower: number
}

/** Lower bound, milliseconds: each data centre takes one copy through its share of the origin's link, each machine one through its own. */
export function lowerBound (replicas: number, slower: number): number {
  const copies = Math.min(replicas, dataCentres)
  return Math.max(copyBytes * copies / originBytes, copyBytes / linkBytes) * 1000 * slower
}

const sizes = [
  { replicas: 6, slower: 1 },
  { replicas: 11, slower: 1 },
  { replicas: 40, slower: 1 },
  { replicas: 100, slower: 3 }
] as const
const trials: readonly Trial[] = [
  ...sizes.map(size => ({ ...size, policy: 'exchange' as const, corrupt: 0, kill: false })),
  ...sizes.map(size => ({ ...size, policy: 'exchange' as const, corrupt: 0.05, kill: true })),
  ...sizes.map(({ replicas }) => ({ replicas, slower: 1, policy: 'naive' as const, corrupt: 0, kill: false }))
]

/** Measures; `words` select by policy, by number of replicas, or `faults`. */
export async function measureWeights (seed: number, words: readonly string[]): Promise<MeasureTable> {
  const chosen = trials.filter(trial => words.every(word => [trial.policy, String(trial.replicas), trial.kill ? 'faults' : 'clean'].includes(word)))
  const exchanges: Array<Record<string, string | number>> = []
  for (const trial of chosen.filter(({ policy }) => policy === 'exchange')) exchanges.push(await run(trial, seed))
  const naive = await Promise.all(chosen.filter(({ policy }) => policy === 'naive').map(async trial => await run(trial, seed)))
  return {
    subject: 'time to N replicas (copy 4 MiB in 64 KiB chunks, origin 2 MiB/s, machines 1 MiB/s each way, 3 data centres)',
    plots: [{ title: 'time to N replicas; dashed: lower bound of the links', x: 'replicas', y: 'milliseconds', kind: 'quantitative', series: ['policy', 'faults'], bound: 'lower bound' }],
    rows: [...exchanges, ...naive]
  }
}

async function run (trial: Trial, seed: number): Promise<Record<string, string | number>> {
  const weights = generateWeights('model', null, `measure-${seed}`, copyBytes, chunkBytes)
  const origin = await startSource(weights, seed, originBytes / trial.slower)
  const store = await startSource(weights, seed + 1, originBytes / 2)
  origin.source.setFaults({ corrupt: trial.corrupt })
  const pool = await WorkerPool.start({ instances: trial.replicas, dataCentres, linkBytes: linkBytes / trial.slower, policy: trial.policy, sources: { origin: origin.url, store: store.url } })
  const bound = lowerBound(trial.replicas, trial.slower)
  const started = Date.now()
  const killed = trial.kill ? 'model-0' : undefined
  if (killed !== undefined) setTimeout(() => { pool.kill(killed) }, bound / 2)
  const lastAt = await pool.want(weights.named.digest, started + capMilliseconds, killed)
  const totals = await pool.end()
  origin.end()
  store.end()
  const elapsed = lastAt - started
  return {
    replicas: trial.replicas,
    policy: trial.policy,
    'links slower': trial.slower,
    faults: trial.kill ? `${trial.corrupt * 100}% corrupt, one killed` : 'none',
    whole: lastAt > 0 ? 'yes' : 'NO',
    milliseconds: elapsed,
    'lower bound': Math.round(bound),
    ratio: Number((elapsed / bound).toFixed(2)),
    'origin from': origin.source.firstByteAt - started,
    'origin until': origin.source.lastByteAt - started,
    'origin copies': Number((origin.source.sentBytes / copyBytes).toFixed(2)),
    'per data centre': Number((origin.source.sentBytes / copyBytes / Math.min(trial.replicas, dataCentres)).toFixed(2)),
    'store copies': Number((store.source.sentBytes / copyBytes).toFixed(2)),
    busy: totals.busy,
    polls: totals.polls,
    'processor ms': totals.processorMilliseconds
  }
}

async function startSource (weights: GeneratedWeights, seed: number, bytesPerSecond: number): Promise<{ readonly source: WeightsStandIn, readonly url: string, readonly end: () => void }> {
  const source = new WeightsStandIn(seed)
  source.setFaults({ linkBytes: bytesPerSecond })
  source.add(weights)
  const { server, port } = await source.listen('127.0.0.1:0')
  const end = (): void => {
    server.close()
    server.closeAllConnections()
  }
  return { source, url: `http://127.0.0.1:${port}`, end }
}
