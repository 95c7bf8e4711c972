import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'out/**', '.tap/**', '**/node_modules/**'] }),
  {
    rules: {
      'no-console': 'off',
      'max-lines': ['error', { max: 300 }],
      'max-depth': ['error', 4]
    }
  }
]
