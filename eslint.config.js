import neostandard from 'neostandard'

export default [
  { ignores: ['dist/', 'target/', 'node_modules/'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      'no-labels': 'off',
      'no-void': 'off',
      'no-use-before-define': 'off'
    }
  }
]
