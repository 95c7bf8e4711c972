/** Messages between the processes of the system, and the headers and answers that callers receive. */

/** Whether an upstream ran a request that has no answer: it did not, it did, or it is not known. */
export type Outcome = 'not-run' | 'run' | 'unknown'

/** Header names, in the lower case of Node's HTTP. */
export const headers = {
  requestId: 'pollendyke-request-id',
  organisation: 'pollendyke-organisation',
  priority: 'pollendyke-priority',
  /** Deadline, epoch milliseconds. */
  deadline: 'pollendyke-deadline',
  outcome: 'pollendyke-outcome',
  failure: 'pollendyke-failure',
  weights: 'pollendyke-weights',
  /** Index of the first token that the entry has not received. */
  resumeFrom: 'pollendyke-resume-from',
  /** SHA-256 of the request's content, by which crashing requests are quarantined. */
  fingerprint: 'pollendyke-fingerprint',
  /** Set if the request may crash its upstream and therefore must run alone. */
  suspect: 'pollendyke-suspect',
  instance: 'pollendyke-instance',
  prefix: 'pollendyke-prefix',
  /** gRPC address of the agent that holds the claim of a key; sent with the failure `claim-lost`. */
  claimHolder: 'pollendyke-claim-holder',
  idempotencyKey: 'idempotency-key',
  traceParent: 'traceparent',
  retryAfter: 'retry-after'
} as const

/** Whether an agent accepts requests: only `open` does. */
export type AgentState = 'closed' | 'open' | 'leaving' | 'out'

/** Status that an agent sends to each entry that watches it. */
export interface AgentStatus {
  readonly instance: string
  /** Changes each time the agent starts. */
  readonly incarnation: string
  readonly dataCentre: string
  readonly service: string
  readonly state: AgentState
  /** Manifest digest of the weights that the agent serves; empty for none. */
  readonly weights: string
  /** Current concurrency limit, in requests. */
  readonly limit: number
  readonly inFlight: number
  readonly waiting: number
  readonly cold: boolean
  /** Offset after the last record of the configuration in force at the agent. */
  readonly configurationNext: number
  /** HTTP address for requests and chunks, `ip:port`. */
  readonly address: string
  /** Manifest digest of the weights being fetched, empty for none; the two counts give the progress. */
  readonly wanted: string
  readonly chunksHeld: number
  readonly chunksTotal: number
  /** Fingerprints of requests that were running when the upstream crashed. */
  readonly suspects: readonly SuspectCount[]
}

/** Number of crashes during which a request with this fingerprint was running. */
export interface SuspectCount {
  readonly fingerprint: string
  readonly crashes: number
  /** Expiry of the count, epoch milliseconds. */
  readonly until: number
}

/** A node's description of itself for operators and peers. */
export interface NodeDescription {
  readonly instance: string
  readonly role: 'entry' | 'agent'
  readonly dataCentre: string
  readonly configurationNext: number
  readonly revision: number
  /** Time until which the configuration counts as confirmed, epoch milliseconds. */
  readonly confirmedUntil: number
  readonly logReachable: boolean
  readonly leaving: boolean
  readonly inFlight: number
}

/** Answer to `GET /locate`. */
export interface LocateAnswer {
  /** HTTP address of the entry to use, `ip:port`. */
  readonly address: string
  /** Time until which the answer may be cached, epoch milliseconds. */
  readonly until: number
  /** Other entries that answer `GET /locate`. */
  readonly others: readonly string[]
}

/** A line of the answer stream to a caller (newline-delimited JSON). An answer without an `end` line is incomplete. */
export type AnswerLine =
  | { readonly type: 'token', readonly id: string, readonly index: number, readonly token: string }
  | { readonly type: 'end', readonly id: string, readonly tokens: number, readonly weights: string }
  | { readonly type: 'failure', readonly id: string, readonly failure: string, readonly outcome: Outcome, readonly retryAt: number }
