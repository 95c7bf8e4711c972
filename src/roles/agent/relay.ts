/** Accepts requests from entries and answers each completely or with a failure. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure } from '../../errors.js'
import { startHop } from '../../plugins/tracing.js'
import { sendFailure, headerOf } from '../../transports/http-server.js'
import { headers } from '../../types/messages.js'
import { refusalOf, type RelayHost } from './relay-host.js'
import { relayModel } from './relay-model.js'
import { replyToKnownKey, relayPlain } from './relay-plain.js'
import { isFailure, readRunRequest, type RunRequest } from './run-request.js'

/** Handles `POST /run/OPERATION`, with a metric and a trace span for each request. */
export async function relay (host: RelayHost, request: IncomingMessage, response: ServerResponse, operation: string): Promise<void> {
  const id = headerOf(request, headers.requestId)
  const hop = startHop('agent', headerOf(request, headers.traceParent), { operation, request: id })
  const failure = await relayChecked(host, request, response, operation, hop.traceParent)
  host.metrics.count('requests_total', { result: failure?.tag ?? 'passed' })
  hop.end(failure?.tag)
}

async function relayChecked (host: RelayHost, request: IncomingMessage, response: ServerResponse, operation: string, traceParent: string): Promise<Failure | undefined> {
  const refuse = (failure: Failure): Failure => {
    sendFailure(response, headerOf(request, headers.requestId).slice(0, 64), failure)
    return failure
  }
  const { configuration } = host
  const run = await readRunRequest(request, operation, host.serviceName, configuration)
  if (isFailure(run)) return refuse(run)
  const traced: RunRequest = { ...run, traceParent }
  const earlier = await replyToKnownKey(host, traced, response)
  if (earlier !== undefined) return earlier.failure
  const refusal = refusalOf(host, run)
  if (refusal !== undefined) return refuse(refusal)
  if (configuration?.services[host.serviceName]?.kind === 'model') return await relayModel(host, traced, response)
  return await relayPlain(host, traced, response)
}
