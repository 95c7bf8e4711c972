/** A request from an entry, read and checked. */
import type { IncomingMessage } from 'node:http'
import { claimKey } from '../../core/claims.js'
import { fail, type Failure } from '../../errors.js'
import { headerOf, readBody } from '../../transports/http-server.js'
import { priorities, type Configuration, type Service } from '../../types/configuration.js'
import { headers } from '../../types/messages.js'
import { digestBytes } from '../../utils/digest.js'
import type { AdmissionRequest } from './admission.js'

const maximumBodyBytes = 4 << 20
const retryDelayMilliseconds = 500
const operationPattern = /^[a-z0-9][a-z0-9-]{0,62}$/

/** A request to run. */
export interface RunRequest {
  readonly id: string
  readonly operation: string
  readonly organisation: string
  /** Epoch milliseconds. */
  readonly deadline: number
  /** Manifest digest that the entry chose, empty for a plain service. */
  readonly weights: string
  readonly body: Buffer
  readonly idempotencyKey: string
  /** Key in the claims stream, empty for a request that may be repeated. */
  readonly claimKey: string
  /** SHA-256 of the body. */
  readonly content: string
  readonly traceParent: string
  readonly admissionRequest: AdmissionRequest
}

/** Reads a request; a failure when it is malformed or too large, and then nothing of it ran. */
export async function readRunRequest (request: IncomingMessage, operation: string, serviceName: string, configuration: Configuration | undefined): Promise<RunRequest | Failure> {
  const body = await readBody(request, maximumBodyBytes)
  if (body === undefined) return fail('too-large')
  if (configuration === undefined) return fail('no-configuration', Date.now() + retryDelayMilliseconds)
  const id = headerOf(request, headers.requestId)
  const deadline = Number(headerOf(request, headers.deadline))
  const service = configuration.services[serviceName]
  if (id === '' || id.length > 64 || !Number.isFinite(deadline) || deadline <= 0 || !operationPattern.test(operation)) return fail('malformed')
  if (service === undefined) return fail('unknown-service')
  const organisation = headerOf(request, headers.organisation)
  const idempotencyKey = headerOf(request, headers.idempotencyKey)
  const needsClaim = isNonIdempotent(service, operation)
  if (needsClaim && idempotencyKey === '') return fail('malformed')
  return {
    id,
    operation,
    organisation,
    deadline,
    weights: headerOf(request, headers.weights),
    body,
    idempotencyKey,
    claimKey: needsClaim ? claimKey(organisation, serviceName, operation, idempotencyKey) : '',
    content: digestBytes(body),
    traceParent: headerOf(request, headers.traceParent),
    admissionRequest: admissionRequestOf(request, id, organisation, deadline, configuration)
  }
}

/** Whether a read request is a failure. */
export function isFailure (value: RunRequest | Failure): value is Failure {
  return 'tag' in value
}

function isNonIdempotent (service: Service, operation: string): boolean {
  return service.kind === 'plain' && service.nonIdempotent.includes(operation)
}

function admissionRequestOf (request: IncomingMessage, id: string, organisation: string, deadline: number, configuration: Configuration): AdmissionRequest {
  const known = configuration.organisations[organisation]
  const named = priorities.findIndex(priority => priority === headerOf(request, headers.priority))
  const rank = named === -1 ? priorities.indexOf(known?.priority ?? 'normal') : named
  const fingerprint = headerOf(request, headers.fingerprint)
  return { id, organisation, deadline, rank, share: known?.share ?? 1, fingerprint, isExclusive: headerOf(request, headers.suspect) !== '' }
}
