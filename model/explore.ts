/** Walks every state of a specification with xstate's graph tools; the shortest path to a broken invariant is the counterexample. */
import { fromTransition } from 'xstate'
import { getAdjacencyMap, getShortestPaths } from 'xstate/graph'

/** An action of a specification. */
export interface Action { readonly type: string }

/** A specification: `broken` names the invariant that a state breaks, or is undefined. */
export interface Specification<State extends object> {
  readonly initial: State
  actionsOf (state: State): readonly Action[]
  next (state: State, action: Action): State
  violationOf (state: State): string | undefined
}

/** What the walk found. */
export interface Exploration {
  readonly states: number
  readonly violation: string | undefined
  /** Actions that lead to the broken state, the shortest path. */
  readonly trace: readonly string[]
}

/** Visits all states, or stops at the first broken one; throws when there are more than `limit`. */
export function explore<State extends object> (specification: Specification<State>, limit: number): Exploration {
  const logic = fromTransition((state: State, action: Action) => specification.next(state, action), specification.initial)
  const serializeState = (snapshot: { readonly context: State }): string => JSON.stringify(snapshot.context)
  const isBroken = (snapshot: { readonly context: State }): boolean => specification.violationOf(snapshot.context) !== undefined
  const events = (snapshot: { readonly context: State }): readonly Action[] => isBroken(snapshot) ? [] : specification.actionsOf(snapshot.context)
  const options = { events, serializeState, limit, stopWhen: isBroken }
  const visited = Object.values(getAdjacencyMap(logic, options))
  const found = visited.find(({ state }) => isBroken(state))
  if (found === undefined) return { states: visited.length, violation: undefined, trace: [] }
  const [path] = getShortestPaths(logic, { ...options, toState: isBroken })
  return { states: visited.length, violation: specification.violationOf(found.state.context), trace: (path?.steps ?? []).map(step => step.event.type) }
}
