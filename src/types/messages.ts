/** Messages between the system's own processes, and the headers that callers see. */

/** Truth about a request that did not get its answer: never sent, sent and answered, or not known. */
export type Outcome = 'not-run' | 'run' | 'unknown'

/** Header names, in the lower case of Node's HTTP. */
export const headers = {
  requestId: 'pollendyke-request-id',
  organisation: 'pollendyke-organisation',
  priority: 'pollendyke-priority',
  /** Epoch milliseconds. */
  deadline: 'pollendyke-deadline',
  outcome: 'pollendyke-outcome',
  failure: 'pollendyke-failure',
  weights: 'pollendyke-weights',
  /** First token that the entry still lacks. */
  resumeFrom: 'pollendyke-resume-from',
  /** SHA-256 of the request's content, for quarantine. */
  fingerprint: 'pollendyke-fingerprint',
  /** Set when the request may crash its upstream; it must run alone. */
  suspect: 'pollendyke-suspect',
  instance: 'pollendyke-instance',
  prefix: 'pollendyke-prefix',
  /** Control address of the agent that holds the claim of a key, on the failure `claim-lost`. */
  claimHolder: 'pollendyke-claim-holder',
  idempotencyKey: 'idempotency-key',
  traceParent: 'traceparent',
  retryAfter: 'retry-after'
} as const

/** State of an agent towards entries. */
export type AgentState = 'closed' | 'open' | 'leaving' | 'out'

/** What an agent tells every entry that watches it. */
export interface AgentStatus {
  readonly instance: string
  /** Changes each time the agent starts. */
  readonly incarnation: string
  readonly dataCentre: string
  readonly service: string
  readonly state: AgentState
  /** Manifest digest that the engine reports and the gate admits; empty for none. */
  readonly weights: string
  /** Requests in flight that the agent allows now. */
  readonly limit: number
  readonly inFlight: number
  readonly waiting: number
  readonly cold: boolean
  /** Next offset of the configuration in force at the agent. */
  readonly configurationNext: number
  /** HTTP address for answers and chunks. */
  readonly address: string
  /** Weights being fetched, empty for none, and how far they are. */
  readonly wanted: string
  readonly chunksHeld: number
  readonly chunksTotal: number
  /** Fingerprints that were running when the upstream crashed. */
  readonly suspects: readonly SuspectCount[]
}

/** How often a fingerprint was running when an upstream crashed. */
export interface SuspectCount {
  readonly fingerprint: string
  readonly crashes: number
  /** Epoch milliseconds after which the count no longer matters. */
  readonly until: number
}

/** What any node says of itself to operators and peers. */
export interface NodeDescription {
  readonly instance: string
  readonly role: 'entry' | 'agent'
  readonly dataCentre: string
  readonly configurationNext: number
  readonly revision: number
  /** Epoch milliseconds until which the configuration counts as confirmed. */
  readonly confirmedUntil: number
  readonly logReachable: boolean
  readonly leaving: boolean
  readonly inFlight: number
}

/** What `GET /locate` answers. */
export interface LocateAnswer {
  /** HTTP address of the entry to use, `ip:port`. */
  readonly address: string
  /** Epoch milliseconds until which the answer may be kept. */
  readonly until: number
  /** Other entries that answer `GET /locate`. */
  readonly others: readonly string[]
}

/** A line of a caller's answer stream (newline-delimited JSON); an answer without `end` is not whole. */
export type AnswerLine =
  | { readonly type: 'token', readonly id: string, readonly index: number, readonly token: string }
  | { readonly type: 'end', readonly id: string, readonly tokens: number, readonly weights: string }
  | { readonly type: 'failure', readonly id: string, readonly failure: string, readonly outcome: Outcome, readonly retryAt: number }
