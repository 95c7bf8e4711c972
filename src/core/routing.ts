/** Choice of an upstream: least loaded among those that may take the request. */
import type { AgentStatus } from '../types/messages.js'

/** Upstreams that may take a request for one of the acceptable weights, the best first. */
export function rankUpstreams (statuses: readonly AgentStatus[], service: string, weights: readonly string[] | undefined): readonly AgentStatus[] {
  const candidates = statuses.filter(status => status.service === service && status.state === 'open' && status.inFlight < status.limit)
  if (weights === undefined) return [...candidates].sort(compareLoad)
  return weights.flatMap(wanted => candidates.filter(status => status.weights === wanted).sort(compareLoad))
}

function compareLoad (left: AgentStatus, right: AgentStatus): number {
  return left.inFlight / left.limit - right.inFlight / right.limit
}
