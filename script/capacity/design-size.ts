/** The figures of docs/CAPACITY.md: measured slopes, carried to the size to design for. */

/** Slopes as measured; bytes are on the sockets, headers included. */
export interface Slopes {
  /** Control bytes a second of a node that is alone, and for each watched upstream, watcher, change and claim. */
  readonly baseBytes: number
  readonly bytesPerWatch: number
  readonly bytesPerChange: number
  readonly bytesPerClaim: number
  /** Processor microseconds for each request and token. */
  readonly entryMicrosecondsPerRequest: number
  readonly entryMicrosecondsPerToken: number
  readonly agentMicrosecondsPerRequest: number
  readonly agentMicrosecondsPerToken: number
  /** Processor seconds a second of an idle node. */
  readonly baseShare: number
  /** Resident bytes of an idle node, and for each watched upstream. */
  readonly baseResident: number
  readonly residentPerUpstream: number
}

/** One row: what it is, how it was worked out, and its share of the limit. */
export interface CapacityRow {
  readonly role: string
  readonly quantity: string
  readonly formula: string
  readonly value: number
  readonly unit: string
  readonly limit: number
}

const entries = 740
const agents = 10_000
const dataCentres = 30
const requestsPerSecond = 45_000
const tokensPerSecond = 18_000_000
const changesPerSecond = 77_000 / 86_400
const nonIdempotentShare = 0.02
/** `--upstream-watchers 2`: two in the data centre and two from anywhere. */
const watchersPerUpstream = 4
/** `--load-milliseconds 1000`. */
const reportsPerSecond = 1
const childrenPerNode = 8
const parentsPerNode = 2
const limits = { bytes: 6000, share: 0.023, resident: 256e6, thread: 1, appends: 300 }

/** Rows at the size to design for. */
export function designSize (slopes: Slopes): readonly CapacityRow[] {
  const watched = agents * watchersPerUpstream / entries
  const tree = (childrenPerNode + parentsPerNode) * changesPerSecond * slopes.bytesPerChange
  const claims = requestsPerSecond * nonIdempotentShare
  const row = (role: string, quantity: string, formula: string, value: number, unit: string, limit: number): CapacityRow => ({ role, quantity, formula, value, unit, limit })
  return [
    row('entry', 'control traffic: idle', 'base', slopes.baseBytes, 'bytes/s', limits.bytes),
    row('entry', 'control traffic: status of upstreams', `${watched.toFixed(0)} upstreams x ${reportsPerSecond}/s x bytes a report`, watched * reportsPerSecond * slopes.bytesPerWatch, 'bytes/s', limits.bytes),
    row('entry', 'control traffic: configuration, an inner node', `(${childrenPerNode} followers + ${parentsPerNode} parents) x ${changesPerSecond.toFixed(2)} changes/s x bytes a change`, tree, 'bytes/s', limits.bytes),
    row('entry', 'control traffic: all', 'sum', slopes.baseBytes + watched * reportsPerSecond * slopes.bytesPerWatch + tree, 'bytes/s', limits.bytes),
    row('entry', 'control processor time, idle', 'base', slopes.baseShare, 'of a core', limits.share),
    row('entry', 'memory', 'base + watched upstreams', slopes.baseResident + watched * slopes.residentPerUpstream, 'bytes', limits.resident),
    row('entry', 'requests', `${(requestsPerSecond / entries).toFixed(0)} requests/s x us a request`, requestsPerSecond / entries * slopes.entryMicrosecondsPerRequest / 1e6, 'of the one thread', limits.thread),
    row('entry', 'tokens', `${(tokensPerSecond / entries).toFixed(0)} tokens/s x us a token`, tokensPerSecond / entries * slopes.entryMicrosecondsPerToken / 1e6, 'of the one thread', limits.thread),
    row('agent', 'control traffic: status to watchers', `${watchersPerUpstream} watchers x ${reportsPerSecond}/s x bytes a report`, watchersPerUpstream * reportsPerSecond * slopes.bytesPerWatch, 'bytes/s', limits.bytes),
    row('agent', 'control traffic: all, an inner node of the tree', 'base + status + configuration', slopes.baseBytes + watchersPerUpstream * reportsPerSecond * slopes.bytesPerWatch + tree, 'bytes/s', limits.bytes),
    row('agent', 'control processor time, idle', 'base', slopes.baseShare, 'of a core', limits.share),
    row('agent', 'requests and tokens', `${requestsPerSecond / agents} requests/s, ${tokensPerSecond / agents} tokens/s`, (requestsPerSecond * slopes.agentMicrosecondsPerRequest + tokensPerSecond * slopes.agentMicrosecondsPerToken) / agents / 1e6, 'of the one thread', limits.thread),
    row('agent of a plain service', 'claims, all of a service read by each of its agents', `${claims.toFixed(0)} claims/s (${nonIdempotentShare * 100}% of requests) x bytes a claim`, claims * slopes.bytesPerClaim, 'bytes/s', limits.bytes),
    row('log', 'appends: changes', 'one each', changesPerSecond, 'appends/s', limits.appends),
    row('log', 'appends: claims, one appender a data centre, ten batches a second (not built)', `${dataCentres} x 10`, dataCentres * 10, 'appends/s', limits.appends)
  ]
}

/** Text of the rows; a row over its limit is marked. */
export function designSizeText (rows: readonly CapacityRow[]): string {
  const lines = rows.map(({ role, quantity, formula, value, unit, limit }) => {
    const share = value / limit
    const fits = share <= 1 ? 'fits' : 'DOES NOT FIT'
    return `| ${role} | ${quantity} | ${formula} | ${value.toPrecision(3)} ${unit} | ${(share * 100).toFixed(0)}% | ${fits} |`
  })
  return ['| role | quantity | formula | figure | share of the limit | |', '| --- | --- | --- | --- | --- | --- |', ...lines].join('\n')
}
