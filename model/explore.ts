/** Explores every state of a specification with xstate's graph tools; the shortest path to a violated invariant is the counterexample. */
import { fromTransition } from 'xstate'
import { getAdjacencyMap, getShortestPaths } from 'xstate/graph'

/** An action of a specification; `type` is its name and the indexes that it applies to, separated by spaces. */
export interface Action { readonly type: string }

/** A state machine with an invariant; `violationOf` describes how a state violates it, or returns undefined. */
export interface Specification<State extends object> {
  readonly initial: State
  actionsOf (state: State): readonly Action[]
  next (state: State, action: Action): State
  violationOf (state: State): string | undefined
}

/** Result of an exploration: the number of states visited, and the first violation. */
export interface Exploration {
  readonly states: number
  readonly violation: string | undefined
  /** Actions on the shortest path to a violation; empty without one. */
  readonly trace: readonly string[]
}

/** Visits all states, or stops at the first violation; throws when there are more than `limit` states. */
export function explore<State extends object> (specification: Specification<State>, limit: number): Exploration {
  const logic = fromTransition((state: State, action: Action) => specification.next(state, action), specification.initial)
  const serializeState = (snapshot: { readonly context: State }): string => JSON.stringify(snapshot.context)
  const isViolation = (snapshot: { readonly context: State }): boolean => specification.violationOf(snapshot.context) !== undefined
  const events = (snapshot: { readonly context: State }): readonly Action[] => isViolation(snapshot) ? [] : specification.actionsOf(snapshot.context)
  const options = { events, serializeState, limit, stopWhen: isViolation }
  const visited = Object.values(getAdjacencyMap(logic, options))
  const found = visited.find(({ state }) => isViolation(state))
  if (found === undefined) return { states: visited.length, violation: undefined, trace: [] }
  const [path] = getShortestPaths(logic, { ...options, toState: isViolation })
  return { states: visited.length, violation: specification.violationOf(found.state.context), trace: (path?.steps ?? []).map(step => step.event.type) }
}
