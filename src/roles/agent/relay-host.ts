/** What the relay needs of the agent, and the steps that both kinds of relay share. */
import type { ServerResponse } from 'node:http'
import { fail, type Failure } from '../../errors.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { Configuration } from '../../types/configuration.js'
import { headers } from '../../types/messages.js'
import type { Admission } from './admission.js'
import type { ClaimRegistry } from './claims.js'
import type { UpstreamConnections, VerifiedConnection } from './connections.js'
import type { OutcomeStore } from './outcomes.js'
import type { RunRequest } from './run-request.js'

const retryDelayMilliseconds = 500

/** What the relay needs of the agent. */
export interface RelayHost {
  readonly upstream: string
  readonly serviceName: string
  readonly configuration: Configuration | undefined
  /** Silence within an engine's answer after which its connection is given up, milliseconds. */
  readonly progressMilliseconds: number
  readonly admission: Admission
  readonly connections: UpstreamConnections
  readonly claims: ClaimRegistry
  readonly outcomes: OutcomeStore
  readonly metrics: Metrics
  /** Why a request for these weights may not enter or be sent now; undefined when it may. */
  refusal (weights: string): Failure | undefined
  /** A connection broke while it carried a request. */
  connectionLost (connection: VerifiedConnection, fingerprint: string): void
}

/** Why a request may not run now: the agent's state, the gate, or a deadline that has passed. */
export function refusalOf (host: RelayHost, run: RunRequest): Failure | undefined {
  if (Date.now() >= run.deadline) return fail('late-deadline', Date.now() + retryDelayMilliseconds)
  return host.refusal(run.weights)
}

/** Headers that the upstream gets with a request. */
export function upstreamHeaders (run: RunRequest, body: Buffer): Readonly<Record<string, string | number>> {
  return {
    [headers.requestId]: run.id,
    [headers.deadline]: String(run.deadline),
    ...(run.idempotencyKey === '' ? {} : { [headers.idempotencyKey]: run.idempotencyKey }),
    ...(run.traceParent === '' ? {} : { [headers.traceParent]: run.traceParent }),
    'content-type': 'application/json',
    'content-length': body.length
  }
}

/** Aborts when the entry's connection closes before the answer was written. */
export function abortSignalOf (response: ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => { if (!response.writableFinished) controller.abort() })
  return controller.signal
}

/** Takes a connection and a place at the upstream; a failure when there is none, and then nothing was sent. */
export async function reserveConnection (host: RelayHost, place: Parameters<Admission['tryStart']>[0], run: RunRequest): Promise<VerifiedConnection | Failure> {
  const retryAt = Date.now() + retryDelayMilliseconds
  try {
    const connection = await host.connections.acquire(run.deadline)
    if (host.admission.tryStart(place, connection.incarnation)) return connection
    host.connections.release(connection)
    return fail('busy', retryAt)
  } catch {
    return fail('upstream-refused', retryAt)
  }
}

/** The last check before a request's first byte; whatever it refuses was not sent. */
export function refusalBeforeSend (host: RelayHost, run: RunRequest, connection: VerifiedConnection): Failure | undefined {
  const refusal = refusalOf(host, run)
  if (refusal !== undefined) return refusal
  if (host.connections.isUsable(connection) && host.admission.isWithinLimit) return undefined
  return fail('upstream-refused', Date.now() + retryDelayMilliseconds)
}
